package org.bulrushwheel.daemon;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import org.bulrushwheel.client.LoopbackPorts;
import org.bulrushwheel.control.ControlService;
import org.bulrushwheel.local.LocalDeployment;
import org.bulrushwheel.server.admin.Tokens;

/** Three daemons, each in a separate process and zone and with its own control replica. */
final class DaemonProcesses implements AutoCloseable {
    static final List<String> NAMES = List.of("a-1", "b-1", "c-1");
    private static final String TOKEN = "process-test";
    private static final long WAIT_SECONDS = 60;

    private final Path folder;
    private final HttpCaller http = new HttpCaller();
    private final List<Integer> ports = LoopbackPorts.free(2 * NAMES.size());
    private final List<Process> processes = new ArrayList<>();

    DaemonProcesses(Path folder) throws IOException {
        this.folder = folder;
        for (int index = 0; index < NAMES.size(); index++) {
            Files.writeString(settingsPath(index), settings(index));
            ControlService.bootstrap(folder.resolve(NAMES.get(index)), NAMES.get(index), NAMES);
            processes.add(launch(index));
        }
    }

    void kill(int index) throws InterruptedException {
        processes.get(index).destroyForcibly().waitFor();
    }

    /** Sends SIGTERM. */
    Process terminate(int index) {
        processes.get(index).destroy();
        return processes.get(index);
    }

    void start(int index) throws IOException {
        processes.set(index, launch(index));
    }

    String address(int index) {
        return "127.0.0.1:" + ports.get(2 * index);
    }

    HttpAnswer accept(int index, long expectedVersion, String changeId, String document) {
        return http.call(
                "POST",
                address(index),
                "/v1/admin/configuration",
                Map.of(
                        "Authorization",
                        "Bearer " + TOKEN,
                        "Bulrushwheel-Expected-Version",
                        Long.toString(expectedVersion),
                        "Bulrushwheel-Change-Id",
                        changeId),
                document.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    long version(int index) {
        return http.get(address(index), "/v1/status")
                .json()
                .path("configurationVersion")
                .asLong(-1);
    }

    boolean await(java.util.function.BooleanSupplier condition) {
        return LocalDeployment.await(condition, System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS));
    }

    HttpAnswer call(int index, String method, String path, Map<String, String> headers) {
        byte[] body = method.equals("POST") ? new byte[] {1} : new byte[0];
        return http.call(method, address(index), "/services/casedesk" + path, headers, body);
    }

    @Override
    public void close() {
        processes.forEach(Process::destroyForcibly);
    }

    private Process launch(int index) throws IOException {
        File log = folder.resolve(NAMES.get(index) + ".log").toFile();
        return new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-Xmx160m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.bulrushwheel.cli.Main",
                        "serve",
                        "--settings",
                        settingsPath(index).toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    private Path settingsPath(int index) {
        return folder.resolve(NAMES.get(index) + ".toml");
    }

    private String settings(int self) {
        StringBuilder settings = new StringBuilder();
        settings.append(instance("instance", self))
                .append("dataFolder = \"")
                .append(folder.resolve(NAMES.get(self)))
                .append("\"\nadministrationTokenSha256 = \"")
                .append(Tokens.sha256(TOKEN))
                .append("\"\n");
        for (int index = 0; index < NAMES.size(); index++) {
            if (index != self) {
                settings.append("[[peers]]\n").append(instance("name", index)).append("control = true\n");
            }
        }
        return settings.toString();
    }

    private String instance(String nameKey, int index) {
        String name = NAMES.get(index);
        return String.format(
                "%s = \"%s\"%nzone = \"local-%s\"%nregion = \"local\"%nhttpAddress = \"%s\"%npeerAddress = \"127.0.0.1:%d\"%n",
                nameKey, name, name.charAt(0), address(index), ports.get(2 * index + 1));
    }
}

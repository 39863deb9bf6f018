package org.bulrushwheel.cli;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.model.config.DrainKind;
import org.bulrushwheel.server.admin.AdminHandler;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Starts or ends a planned drain. */
@Command(
        name = "drain",
        mixinStandardHelpOptions = true,
        description = {
            "Start or end a planned drain of a region, zone, instance or endpoint; allowed in breaks, as any change.",
            "To stop one instance at any time, send it SIGTERM."
        })
final class DrainCommand implements Callable<Integer> {
    @Mixin
    private AdminOptions admin;

    @Parameters(index = "0", paramLabel = "KIND", description = "REGION, ZONE, INSTANCE or ENDPOINT.")
    private DrainKind kind;

    @Parameters(index = "1", paramLabel = "NAME", description = "What to drain.")
    private String name;

    @Option(names = "--end", description = "End the drain.")
    private boolean end;

    @Option(names = "--change-id", description = "Identity of the change; a new one by default.")
    private String changeId = UUID.randomUUID().toString();

    @Override
    public Integer call() {
        String body = String.format(
                "{\"drain\":{\"kind\":\"%s\",\"name\":\"%s\"},\"drained\":%s}", kind, name.replace("\"", ""), !end);
        HttpAnswer answer = admin.call(
                "POST",
                AdminHandler.DRAINS_PATH,
                Map.of(AdminHandler.CHANGE_ID.toString(), changeId),
                body.getBytes(StandardCharsets.UTF_8));
        System.out.println((end ? "ended" : "started") + " as version "
                + answer.json().path("version").asLong());
        return ExitCodes.DONE;
    }
}

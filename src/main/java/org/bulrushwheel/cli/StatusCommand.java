package org.bulrushwheel.cli;

import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the state of an instance. */
@Command(name = "status", mixinStandardHelpOptions = true, description = "Show the state of an instance.")
final class StatusCommand implements Callable<Integer> {
    @Option(names = "--entry", required = true, description = "The entry instance, as IP:PORT.")
    private String entry;

    @Option(names = "--json", description = "Print the answer as JSON.")
    private boolean json;

    @Override
    public Integer call() {
        HttpAnswer answer = Answers.requireOk(new HttpCaller().get(entry, "/v1/status"), entry);
        if (json) {
            System.out.println(answer.text());
            return ExitCodes.DONE;
        }
        JsonNode status = answer.json();
        System.out.printf(
                "%s zone=%s region=%s configuration=%d%n",
                status.path("instance").asText(),
                status.path("zone").asText(),
                status.path("region").asText(),
                status.path("configurationVersion").asLong());
        JsonNode replica = status.path("replica");
        if (replica.isObject()) {
            System.out.printf(
                    "replica %s role=%s term=%d leader=%s committed=%d voters=%s%n",
                    replica.path("replica").asText(),
                    replica.path("role").asText(),
                    replica.path("term").asLong(),
                    replica.path("leader").asText(),
                    replica.path("commitIndex").asLong(),
                    replica.path("voters"));
        }
        return ExitCodes.DONE;
    }
}

package org.bulrushwheel.cli;

import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Asks which entry instances to use. */
@Command(name = "lookup", mixinStandardHelpOptions = true, description = "Ask which entry instances to use.")
final class LookupCommand implements Callable<Integer> {
    @Option(names = "--entry", required = true, description = "Any entry instance, as IP:PORT.")
    private String entry;

    @Option(names = "--client", description = "Address of the client; by default the caller's own.")
    private String client;

    @Option(names = "--json", description = "Print the answer as JSON.")
    private boolean json;

    @Parameters(paramLabel = "SERVICE", description = "Name of the service.")
    private String service;

    @Override
    public Integer call() {
        String path = "/v1/lookup?service=" + service + (client == null ? "" : "&client=" + client);
        HttpAnswer answer = Answers.requireOk(new HttpCaller().get(entry, path), entry);
        if (json) {
            System.out.println(answer.text());
            return ExitCodes.DONE;
        }
        for (JsonNode each : answer.json().path("entries")) {
            System.out.printf(
                    "%s %s %s%n",
                    each.path("address").asText(),
                    each.path("instance").asText(),
                    each.path("zone").asText());
        }
        return ExitCodes.DONE;
    }
}

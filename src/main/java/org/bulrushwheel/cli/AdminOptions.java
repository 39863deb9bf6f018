package org.bulrushwheel.cli;

import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.bulrushwheel.client.HttpAnswer;
import org.bulrushwheel.client.HttpCaller;
import picocli.CommandLine.Option;

/** Options of commands that speak to the administration API. */
final class AdminOptions {
    @Option(names = "--entry", required = true, description = "Any entry instance, as IP:PORT.")
    private String entry;

    @Option(
            names = "--token-file",
            description = "File with the operator's bearer token; by default BULRUSHWHEEL_TOKEN in the environment.")
    private Path tokenFile;

    /** Makes a call; an answer that is no success becomes an error with its reason and remedy. */
    HttpAnswer call(String method, String path, Map<String, String> headers, byte[] body) {
        Map<String, String> withToken = new HashMap<>(headers);
        token().ifPresent(token -> withToken.put("Authorization", "Bearer " + token));
        return Answers.requireOk(new HttpCaller().call(method, entry, path, withToken, body), entry);
    }

    private Optional<String> token() {
        return tokenFile == null
                ? Optional.ofNullable(System.getenv("BULRUSHWHEEL_TOKEN"))
                : Optional.of(Documents.read(tokenFile).strip());
    }
}

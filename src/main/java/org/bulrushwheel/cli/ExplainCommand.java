package org.bulrushwheel.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.bulrushwheel.logic.decision.RequestAccount;
import org.bulrushwheel.model.decision.LoggedDecision;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Tells from the logs of several processes what became of a request, and why. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Join the log lines of several processes into one account of a request.")
final class ExplainCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "REQUEST-ID", description = "Id of the request.")
    private String requestId;

    @Parameters(index = "1..*", paramLabel = "FILE", arity = "1..*", description = "Logs, one JSON object a line.")
    private List<Path> files;

    @Override
    public Integer call() {
        List<LoggedDecision> logged = files.stream()
                .flatMap(file -> DecisionReader.read(file).stream())
                .toList();
        RequestAccount account = RequestAccount.of(requestId, logged);
        if (account.own().isEmpty()) {
            System.err.println("no line is about request " + requestId + " among " + logged.size()
                    + " decisions; name the logs of the entry instance that had it, or it was sampled out");
            return ExitCodes.FAILED;
        }
        account.lines().forEach(System.out::println);
        return ExitCodes.DONE;
    }
}

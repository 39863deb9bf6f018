package org.bulrushwheel.cli;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;

import org.bulrushwheel.server.admin.AdminHandler;
import org.bulrushwheel.server.admin.Operator;
import org.bulrushwheel.server.admin.Tokens;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Stores an operator. */
@Command(
        name = "operator",
        mixinStandardHelpOptions = true,
        description = "Store an operator with a new token, which is printed once; only its hash is kept.")
final class OperatorCommand implements Callable<Integer> {
    @Mixin
    private AdminOptions admin;

    @Parameters(paramLabel = "NAME", description = "Name in the audit trail.")
    private String name;

    @Option(names = "--team", defaultValue = "", description = "Team; by default the whole deployment.")
    private String team;

    @Option(names = "--role", defaultValue = "VIEWER", description = "VIEWER, EDITOR or ADMINISTRATOR.")
    private Operator.Role role;

    @Option(names = "--revoke", description = "Leave the operator without any token.")
    private boolean revoke;

    @Override
    public Integer call() {
        String token = Tokens.generate();
        String body = String.format(
                "{\"name\":\"%s\",\"team\":\"%s\",\"role\":\"%s\",\"tokenSha256\":\"%s\"}",
                name.replace("\"", ""), team.replace("\"", ""), role, revoke ? "" : Tokens.sha256(token));
        admin.call(
                "POST",
                AdminHandler.OPERATORS_PATH,
                Map.of(AdminHandler.CHANGE_ID.toString(), UUID.randomUUID().toString()),
                body.getBytes(StandardCharsets.UTF_8));
        System.out.println(revoke ? "revoked" : token);
        return ExitCodes.DONE;
    }
}

package org.bulrushwheel.server.status;

import java.util.Optional;
import java.util.function.Supplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.bulrushwheel.control.ReplicaStatus;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.server.HttpAnswers;
import org.jspecify.annotations.Nullable;

/**
 * {@code GET /v1/status}: returns the identity of this instance, its configuration version and the state of its control
 * replica.
 *
 * <p>Thread safe.
 */
public final class StatusHandler implements HttpHandler {
    /** Path of the status page. */
    public static final String PATH = "/v1/status";

    private final Instance self;
    private final long incarnation;
    private final Supplier<VersionedConfiguration> configuration;
    private final Supplier<Optional<ReplicaStatus>> replica;
    private final HttpAnswers answers;

    /** Creates a handler that reads the current state from the suppliers. */
    public StatusHandler(
            Instance self,
            long incarnation,
            Supplier<VersionedConfiguration> configuration,
            Supplier<Optional<ReplicaStatus>> replica,
            HttpAnswers answers) {
        this.self = self;
        this.incarnation = incarnation;
        this.configuration = configuration;
        this.replica = replica;
        this.answers = answers;
    }

    /**
     * Status of an instance.
     *
     * @param instance name
     * @param zone availability zone
     * @param region region
     * @param incarnation incarnation of the process
     * @param configurationVersion version in force, 0 if none
     * @param replica state of its control replica, null if it has none
     */
    public record Status(
            String instance,
            String zone,
            String region,
            long incarnation,
            long configurationVersion,
            @Nullable ReplicaStatus replica) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        answers.json(
                exchange,
                200,
                new Status(
                        self.name(),
                        self.zone(),
                        self.region(),
                        incarnation,
                        configuration.get().version(),
                        replica.get().orElse(null)));
    }
}

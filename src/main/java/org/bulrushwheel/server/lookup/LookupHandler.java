package org.bulrushwheel.server.lookup;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.bulrushwheel.logic.lookup.ClientBlockTable;
import org.bulrushwheel.logic.lookup.EntrySelector;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.server.HttpAnswers;

/**
 * {@code GET /v1/lookup?service=NAME[&client=ADDRESS]}: returns the entry instances to use and the time until which the
 * response may be cached.
 *
 * <p>Thread safe: the state derived from the configuration is replaced as a whole.
 */
public final class LookupHandler implements HttpHandler {
    /** Path of look-ups. */
    public static final String PATH = "/v1/lookup";

    /** Time for which a response may be cached; a leaving instance continues to serve for that time. */
    public static final long CACHE_MILLIS = 10_000;

    private static final int MAX_ENTRIES = 3;
    private static final long REFRESH_MILLIS = 100;

    private final String ownZone;
    private final Supplier<List<Instance>> instances;
    private final TimeSource time;
    private final HttpAnswers answers;
    private final Meter lookups;
    private volatile long nextRefreshMillis = Long.MIN_VALUE;
    private volatile Tables tables = Tables.NONE;

    /** Creates a handler that selects from the supplied instances. */
    public LookupHandler(
            String ownZone,
            Supplier<List<Instance>> instances,
            TimeSource time,
            HttpAnswers answers,
            MetricRegistry metrics) {
        this.ownZone = ownZone;
        this.instances = instances;
        this.time = time;
        this.answers = answers;
        this.lookups = metrics.meter("lookups");
    }

    /** Look-up tables built from the configuration and the serving instances. */
    private record Tables(
            VersionedConfiguration configuration,
            List<Instance> serving,
            EntrySelector selector,
            ClientBlockTable blocks) {
        static final Tables NONE = new Tables(
                VersionedConfiguration.NONE,
                List.of(),
                new EntrySelector(VersionedConfiguration.NONE.configuration(), List.of()),
                ClientBlockTable.of(List.of()));

        /** Rebuilds the table of client blocks only if the blocks have changed. */
        Tables with(VersionedConfiguration newer) {
            boolean sameBlocks = newer.configuration()
                    .clientBlocks()
                    .equals(configuration.configuration().clientBlocks());
            return new Tables(
                    newer,
                    serving,
                    new EntrySelector(newer.configuration(), serving),
                    sameBlocks
                            ? blocks
                            : ClientBlockTable.of(newer.configuration().clientBlocks()));
        }

        Tables with(List<Instance> newServing) {
            return newServing.equals(serving)
                    ? this
                    : new Tables(
                            configuration,
                            newServing,
                            new EntrySelector(configuration.configuration(), newServing),
                            blocks);
        }
    }

    /**
     * Entry instance in a response.
     *
     * @param instance name
     * @param zone availability zone
     * @param address HTTP address as IP:PORT
     */
    public record Entry(String instance, String zone, String address) {}

    /**
     * Response to a look-up.
     *
     * @param service requested service
     * @param configurationVersion version in force
     * @param cacheUntilEpochMillis time until which the response may be cached
     * @param entries entry instances, best first
     */
    public record Answer(String service, long configurationVersion, long cacheUntilEpochMillis, List<Entry> entries) {}

    /** Applies a new configuration to the look-up tables. */
    public synchronized void configure(VersionedConfiguration configuration) {
        tables = tables.with(configuration);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        lookups.mark();
        Tables current = refreshedTables();
        Optional<String> service = parameter(exchange, "service");
        if (service.isEmpty()) {
            answers.refuse(
                    exchange, Refusal.notRun(RefusalReason.MALFORMED_REQUEST, "the query must be ?service=NAME"));
        } else if (current.configuration().version() == 0) {
            answers.refuse(
                    exchange,
                    Refusal.notRun(RefusalReason.NO_CONFIGURATION, "no configuration is in force here")
                            .withRetryAfterSeconds(1));
        } else if (current.configuration()
                .configuration()
                .service(service.get())
                .isEmpty()) {
            answers.refuse(exchange, Refusal.notRun(RefusalReason.UNKNOWN_SERVICE, service.get()));
        } else {
            answer(exchange, current, service.get());
        }
    }

    private void answer(HttpServerExchange exchange, Tables current, String service) {
        String client = parameter(exchange, "client")
                .orElseGet(() -> exchange.getSourceAddress().getAddress().getHostAddress());
        String zone = current.blocks().zoneOf(client).orElse(ownZone);
        String region = current.configuration().configuration().regionOf(zone).orElse("");
        List<Entry> entries = current.selector().select(zone, region, client.hashCode(), MAX_ENTRIES).stream()
                .map(instance -> new Entry(instance.name(), instance.zone(), instance.httpAddress()))
                .toList();
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "max-age=" + CACHE_MILLIS / 1_000);
        answers.json(
                exchange,
                200,
                new Answer(service, current.configuration().version(), time.epochMillis() + CACHE_MILLIS, entries));
    }

    /** Returns the tables, with the serving instances refreshed at most every {@link #REFRESH_MILLIS}. */
    private Tables refreshedTables() {
        long now = time.monotonicMillis();
        if (now >= nextRefreshMillis) {
            nextRefreshMillis = now + REFRESH_MILLIS;
            synchronized (this) {
                tables = tables.with(instances.get());
            }
        }
        return tables;
    }

    private static Optional<String> parameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(values -> values.getFirst());
    }
}

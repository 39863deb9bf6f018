package org.bulrushwheel.server.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.DefaultResponseListener;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import io.vavr.control.Either;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.logic.retry.RetryBudget;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.config.Route;
import org.bulrushwheel.model.config.ServiceDefinition;
import org.bulrushwheel.model.config.VersionedConfiguration;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.server.BodyReader;
import org.bulrushwheel.server.HttpResources;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * HTTP handler of the gateway for {@code /services/SERVICE/PATH}: reads and validates a request, then starts its
 * {@link GatewayExchange}.
 *
 * <p>Invariant: every request gets a response or a closed connection, at the latest some seconds after its deadline. Thread
 * safe.
 */
public final class GatewayHandler implements HttpHandler {
    /** Path prefix of requests that are forwarded to upstreams. */
    public static final String PREFIX = "/services";

    /** Maximum body size of a request that must run at most once, and of an answer that is stored for replays. */
    public static final int MAX_ONCE_BODY_BYTES = 1024 * 1024;

    /** Bodies up to this size are buffered, so that a request can be retried; larger ones are streamed. */
    public static final int MAX_BUFFERED_BODY_BYTES = 64 * 1024;

    /** Time after a request's deadline in which the ledger may still store its outcome; longer than its time-outs. */
    private static final long OUTCOME_GRACE_MILLIS = 5_000;

    private static final int MAX_KEY_LENGTH = 255;
    private static final long RETRIES_PER_THOUSAND = 100;
    private static final long MAX_RETRY_RESERVE = 20;

    private final Supplier<VersionedConfiguration> configuration;
    private final GatewayServices services;
    private final ByteBudget requestBodies;

    /**
     * Creates a handler that reads the current configuration from the supplier for each request, and holds bodies within
     * a budget, of which those of requests leave a quarter to responses.
     */
    public GatewayHandler(
            String instance,
            Supplier<VersionedConfiguration> configuration,
            SlotSource slots,
            RunLedger ledger,
            Admission admission,
            PoisonGuard poison,
            TimeSource time,
            MetricRegistry metrics,
            HttpResources http) {
        this.requestBodies = http.bodies().share(http.bodies().limitBytes() / 4 * 3);
        this.configuration = configuration;
        this.services = new GatewayServices(
                instance,
                slots,
                ledger,
                admission,
                poison,
                new UpstreamConnections(time, metrics),
                new AttemptIds(),
                new RetryBudget(RETRIES_PER_THOUSAND, MAX_RETRY_RESERVE),
                http.bodies(),
                time,
                metrics,
                http.answers());
    }

    /** Closes connections to endpoints that exceeded the idle timeout. */
    public void closeExpiredConnections() {
        services.connections().closeExpired();
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        services.metrics().meter("gateway.requests").mark();
        services.retries().onRequest();
        exchange.addDefaultResponseListener(ended -> {
            if (ended.getAttachment(DefaultResponseListener.EXCEPTION) == null) {
                return false;
            }
            refuseFailed(ended);
            return true;
        });
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> read(exchange));
    }

    private void read(HttpServerExchange exchange) {
        Either<Refusal, GatewayRequest> request = parse(exchange);
        if (request.isLeft()) {
            services.answers().refuse(exchange, request.getLeft());
            return;
        }
        if (!services.admission().tryAdmit(request.get().service())) {
            Refusal refusal = Refusal.notRun(
                    RefusalReason.SHIFT_CAP_REACHED, request.get().service());
            services.answers().refuse(exchange, refusal.withRetryAfterSeconds(1));
            return;
        }
        if (mustStream(exchange, request.get())) {
            start(exchange, request.get(), true);
            return;
        }
        int maxBytes = request.get().route().idempotent() ? MAX_BUFFERED_BODY_BYTES : MAX_ONCE_BODY_BYTES;
        BodyReader.readRequest(
                exchange,
                requestBodies,
                maxBytes,
                request.get().deadlineMillis() - services.time().monotonicMillis(),
                body -> start(exchange, withBody(request.get(), body), false),
                error -> services.answers().refuseBody(exchange, error));
    }

    private void start(HttpServerExchange exchange, GatewayRequest request, boolean streamed) {
        endIfUnanswered(exchange, request);
        GatewayExchange gatewayExchange = new GatewayExchange(exchange, request, services, streamed);
        if (request.route().idempotent()) {
            gatewayExchange.run(AnswerSink.DIRECT);
            return;
        }
        new OnceGuard(exchange, request, services, gatewayExchange).run();
    }

    /**
     * Refuses a request that has no response long after its deadline, because an exception or Error ended the work on it
     * or a future never completed; closes its connection if there is a response, but still no end of the body.
     */
    private void endIfUnanswered(HttpServerExchange exchange, GatewayRequest request) {
        long waitMillis = request.deadlineMillis() - services.time().monotonicMillis() + OUTCOME_GRACE_MILLIS;
        XnioExecutor.Key timer = exchange.getIoThread()
                .executeAfter(() -> end(exchange), Math.max(1, waitMillis), TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener((done, next) -> {
            timer.remove();
            next.proceed();
        });
    }

    private void end(HttpServerExchange exchange) {
        if (exchange.isResponseComplete() && !exchange.isRequestComplete()) {
            // The rest of a streamed body, behind a response that came before its end.
            IoUtils.safeClose(exchange.getConnection());
        } else {
            refuseFailed(exchange);
        }
    }

    private void refuseFailed(HttpServerExchange exchange) {
        if (exchange.isResponseStarted() || exchange.isComplete()) {
            return;
        }
        services.metrics().counter("gateway.requests.unanswered").inc();
        exchange.getResponseHeaders().clear();
        exchange.setPersistent(false);
        services.answers()
                .refuse(exchange, Refusal.unknown(RefusalReason.INTERNAL_ERROR, "the work on the request failed"));
    }

    private Either<Refusal, GatewayRequest> parse(HttpServerExchange exchange) {
        Configuration current = configuration.get().configuration();
        if (configuration.get().version() == 0) {
            return refuse(RefusalReason.NO_CONFIGURATION, "no configuration is in force here");
        }
        if (exchange.getRequestHeaders().contains(GatewayHeaders.FORWARDED_BY)) {
            return refuse(RefusalReason.FORWARD_LOOP, "another entry instance already forwarded this request");
        }
        String path = exchange.getRelativePath();
        int slash = path.indexOf('/', 1);
        String serviceName = slash < 0 ? path.substring(Math.min(1, path.length())) : path.substring(1, slash);
        String servicePath = slash < 0 ? "/" : path.substring(slash);
        Optional<ServiceDefinition> service = current.service(serviceName);
        if (service.isEmpty()) {
            return refuse(RefusalReason.UNKNOWN_SERVICE, serviceName);
        }
        Optional<Route> route =
                service.get().routeFor(exchange.getRequestMethod().toString(), servicePath);
        if (route.isEmpty()) {
            return refuse(RefusalReason.UNKNOWN_ROUTE, exchange.getRequestMethod() + " " + servicePath);
        }
        return parse(exchange, serviceName, route.get());
    }

    private Either<Refusal, GatewayRequest> parse(HttpServerExchange exchange, String service, Route route) {
        Optional<String> key = header(exchange, GatewayHeaders.IDEMPOTENCY_KEY);
        if (!route.idempotent() && key.filter(text -> !text.isBlank()).isEmpty()) {
            return refuse(RefusalReason.IDEMPOTENCY_KEY_MISSING, route.method() + " " + route.pathPrefix());
        }
        if (key.filter(text -> text.length() > MAX_KEY_LENGTH).isPresent()) {
            return refuse(
                    RefusalReason.MALFORMED_REQUEST,
                    "the Idempotency-Key has more than " + MAX_KEY_LENGTH + " characters");
        }
        Optional<String> timeout = header(exchange, GatewayHeaders.TIMEOUT_MILLIS);
        if (timeout.filter(text -> !text.matches("[1-9][0-9]{0,8}")).isPresent()) {
            return refuse(
                    RefusalReason.MALFORMED_REQUEST,
                    "Bulrushwheel-Timeout-Millis must be a positive integer of at most 9 digits");
        }
        long timeoutMillis = Math.min(timeout.map(Long::valueOf).orElse(route.timeoutMillis()), route.timeoutMillis());
        return Either.right(new GatewayRequest(
                service,
                route,
                exchange.getRequestMethod(),
                upstreamPath(exchange, service),
                exchange.getRequestHeaders(),
                new byte[0],
                key,
                services.time().monotonicMillis() + timeoutMillis));
    }

    /** Returns the path after the service name, as encoded by the caller, with the query. */
    private static String upstreamPath(HttpServerExchange exchange, String service) {
        String uri = exchange.getRequestURI();
        int start = uri.indexOf(PREFIX + "/") + PREFIX.length() + 1;
        int slash = uri.indexOf('/', start);
        String path = slash < 0 ? "/" : uri.substring(slash);
        String query = exchange.getQueryString();
        return query.isEmpty() ? path : path + "?" + query;
    }

    private static boolean mustStream(HttpServerExchange exchange, GatewayRequest request) {
        if (!request.route().idempotent() || exchange.isRequestComplete()) {
            return false;
        }
        long lengthBytes = exchange.getRequestContentLength();
        return lengthBytes < 0 || lengthBytes > MAX_BUFFERED_BODY_BYTES;
    }

    private static GatewayRequest withBody(GatewayRequest request, byte[] body) {
        return new GatewayRequest(
                request.service(),
                request.route(),
                request.method(),
                request.path(),
                request.headers(),
                body,
                request.idempotencyKey(),
                request.deadlineMillis());
    }

    private static Optional<String> header(HttpServerExchange exchange, io.undertow.util.HttpString name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    private static <T> Either<Refusal, T> refuse(RefusalReason reason, String detail) {
        return Either.left(Refusal.notRun(reason, detail));
    }
}

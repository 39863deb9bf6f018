package org.bulrushwheel.server;

import com.codahale.metrics.MetricRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.HeaderValues;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.refusal.Refusal;
import org.bulrushwheel.model.refusal.RefusalReason;
import org.bulrushwheel.model.settings.Settings;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server of an instance. Handlers are registered by path before the start.
 *
 * <p>Invariant: the failure of a handler affects only the request that it handles. Thread safe once started.
 */
public final class HttpService implements KernelService {
    /** Name of the service in the kernel. */
    public static final String NAME = "http";

    private static final Logger LOGGER = LoggerFactory.getLogger(HttpService.class);
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    /** Larger headers close the connection before a handler can respond. */
    private static final int MAX_PARSED_HEADER_BYTES = 256 * 1024;

    private static final int MAX_HEADERS = 100;

    /** Bodies are streamed; handlers that buffer a body set their own limit. */
    private static final long UNLIMITED_BYTES = -1;

    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int REQUEST_PARSE_TIMEOUT_MILLIS = 10_000;

    // A parsed document takes up to twelve times its size, and a kept answer is copied for the ledger.
    private static final long HEAP_PER_BODIES = 8;
    private static final long HEAP_PER_DOCUMENTS = 32;
    private static final long MAX_DOCUMENTS_BYTES = 64L * 1024 * 1024;

    private final Address address;
    private final int ioThreads;
    private final PathHandler paths = new PathHandler();
    private final DrainGate gate;
    private final MetricRegistry metrics;
    private final HttpAnswers answers;
    private final ByteBudget bodies;
    private @Nullable Undertow undertow;

    /** Creates a server for the HTTP address in the settings. */
    public HttpService(Settings settings, int ioThreads, MetricRegistry metrics, HttpAnswers answers) {
        this.address = Address.parse(settings.httpAddress());
        this.ioThreads = ioThreads;
        this.metrics = metrics;
        this.answers = answers;
        this.bodies = new ByteBudget(Runtime.getRuntime().maxMemory() / HEAP_PER_BODIES);
        metrics.gauge("http.bodies.bytes", () -> bodies::reservedBytes);
        metrics.gauge("http.bodies.limit.bytes", () -> bodies::limitBytes);
        this.gate = new DrainGate(withErrorHandling(paths), answers);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Returns the budget of all bodies that handlers hold. */
    public ByteBudget bodies() {
        return bodies;
    }

    /** Returns the part of {@link #bodies()} that documents of operators may take, one of them or all together. */
    public ByteBudget documents() {
        return bodies.share(Math.min(MAX_DOCUMENTS_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PER_DOCUMENTS));
    }

    /** Registers a handler for all paths below a prefix. */
    public void handle(String prefix, HttpHandler handler) {
        paths.addPrefixPath(prefix, handler);
    }

    /** Registers a handler for one exact path. */
    public void handleExact(String path, HttpHandler handler) {
        paths.addExactPath(path, handler);
    }

    @Override
    public void start() {
        undertow = Undertow.builder()
                .addHttpListener(address.port(), address.host())
                .setIoThreads(ioThreads)
                .setWorkerThreads(4)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_PARSED_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED_BYTES)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_PARSE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.ENABLE_STATISTICS, false)
                .setHandler(gate)
                .build();
        undertow.start();
    }

    @Override
    public void drain(long deadlineNanos) {
        gate.close();
        try {
            if (!gate.awaitEmpty(deadlineNanos)) {
                metrics.counter("http.drain.incomplete").inc();
                LOGGER.warn("drain deadline reached with requests still in flight requests={}", gate.inFlight());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void stop() {
        if (undertow != null) {
            undertow.stop();
        }
    }

    private HttpHandler withErrorHandling(HttpHandler next) {
        return exchange -> {
            if (headerBytes(exchange) > MAX_HEADER_BYTES) {
                answers.refuse(
                        exchange,
                        Refusal.notRun(
                                RefusalReason.HEADERS_TOO_LARGE, "the headers exceed " + MAX_HEADER_BYTES + " bytes"));
                return;
            }
            try {
                next.handleRequest(exchange);
            } catch (RuntimeException e) {
                onHandlerFailure(exchange, e);
            }
        };
    }

    private static int headerBytes(HttpServerExchange exchange) {
        int bytes =
                exchange.getRequestURI().length() + exchange.getQueryString().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += values.getHeaderName().length() + value.length();
            }
        }
        return bytes;
    }

    private void onHandlerFailure(HttpServerExchange exchange, RuntimeException e) {
        metrics.counter("http.handler.failed").inc();
        LOGGER.warn("handler failed path={}", exchange.getRequestPath(), e);
        answers.refuse(exchange, Refusal.unknown(RefusalReason.INTERNAL_ERROR, "the handler of this path failed"));
    }
}

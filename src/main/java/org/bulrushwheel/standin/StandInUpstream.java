package org.bulrushwheel.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.Undertow;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

/**
 * HTTP server that simulates one upstream endpoint and names requests in its responses. Query parameters of a request
 * control its outcome:
 *
 * <ul>
 *   <li>{@code delayMillis}: service time in milliseconds
 *   <li>{@code bytes}: size of the response body in bytes
 *   <li>{@code crash}: counts the run of the idempotency key, closes the connection without a response and stops the server
 *   <li>{@code cut}: sends the body one byte short of its content length and closes the connection
 *   <li>{@code stall}: sends the body one byte short of its content length and keeps the connection open
 *   <li>{@code hang}: counts the run of the idempotency key but never responds
 * </ul>
 *
 * <p>Thread safe; {@link #start()} and {@link #close()} must be called at most once each.
 */
public final class StandInUpstream implements AutoCloseable {
    private static final HttpString RUN_STATE = new HttpString("Bulrushwheel-Run-State");
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString REQUEST_ID = new HttpString("Bulrushwheel-Request-Id");
    private static final HttpString TIMEOUT_MILLIS = new HttpString("Bulrushwheel-Timeout-Millis");
    private static final HttpString LEAVING = new HttpString("Bulrushwheel-Leaving");
    private static final AttachmentKey<Long> OPENED_MILLIS = AttachmentKey.create(Long.class);
    private static final int DEFAULT_BODY_BYTES = 64;
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    private final StandInBehaviour behaviour;
    private final Runnable onCrash;
    private final RunCounter runs;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger maxInFlight = new AtomicInteger();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong shed = new AtomicLong();
    private final AtomicLong cancelled = new AtomicLong();
    private final long startedMillis = System.currentTimeMillis();
    private final Undertow undertow;
    private volatile boolean draining;
    private volatile boolean leaving;
    private volatile long pauseEndNanos = System.nanoTime();
    private volatile boolean crashed;

    /**
     * Creates a stand-in upstream; call {@link #start()} to begin listening.
     *
     * @param behaviour behaviour and simulated faults
     * @param port TCP port on the loopback interface, 0 for an ephemeral port
     * @param runs counter of executions by idempotency key; may be shared between stand-ins
     * @param onCrash called when a request triggers a simulated crash
     */
    public StandInUpstream(StandInBehaviour behaviour, int port, RunCounter runs, Runnable onCrash) {
        this.behaviour = behaviour;
        this.runs = runs;
        this.onCrash = onCrash;
        this.undertow = Undertow.builder()
                .addHttpListener(port, "127.0.0.1")
                .setIoThreads(2)
                .setWorkerThreads(2)
                .setServerOption(io.undertow.UndertowOptions.MAX_ENTITY_SIZE, -1L)
                .setHandler(this::handle)
                .build();
    }

    /** Starts listening for requests. */
    public StandInUpstream start() {
        undertow.start();
        return this;
    }

    /** Returns the listening address as IP:PORT. */
    public String address() {
        InetSocketAddress address =
                (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    public StandInBehaviour behaviour() {
        return behaviour;
    }

    public RunCounter runs() {
        return runs;
    }

    /** Returns the number of requests that were run and answered, including truncated responses. */
    public long served() {
        return served.get();
    }

    /** Returns the number of requests that were shed because all slots were in use or the endpoint was draining or pausing. */
    public long shed() {
        return shed.get();
    }

    /** Returns the number of requests rejected because their service time exceeded their timeout. */
    public long cancelled() {
        return cancelled.get();
    }

    /** Returns the highest number of concurrent requests so far. */
    public int maxInFlight() {
        return maxInFlight.get();
    }

    /** Returns the time since this object was created, in milliseconds. */
    public long servingForMillis() {
        return System.currentTimeMillis() - startedMillis;
    }

    /** Returns the load to report, in percent of the slots: the configured fixed value or the measured load. */
    public int reportedLoadPercent() {
        return behaviour.reportedLoadPercent() >= 0
                ? behaviour.reportedLoadPercent()
                : 100 * inFlight.get() / behaviour.slots();
    }

    /** Says in all responses from now on that this endpoint leaves; requests are still run. */
    public void leave() {
        leaving = true;
    }

    /** Sheds all new requests for some time and says in each response how many seconds are left. */
    public void pause(long millis) {
        pauseEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Sheds all new requests from now on; requests in flight are completed. */
    public void drain() {
        draining = true;
    }

    @Override
    public void close() {
        undertow.stop();
    }

    private void handle(HttpServerExchange exchange) {
        if (isUnresponsive(exchange.getConnection())) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        if (crashed) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(REQUEST_ID))
                .ifPresent(id -> exchange.getResponseHeaders().put(REQUEST_ID, id));
        if (leaving) {
            exchange.getResponseHeaders().put(LEAVING, "1");
        }
        long pauseMillis = TimeUnit.NANOSECONDS.toMillis(pauseEndNanos - System.nanoTime());
        if (draining || pauseMillis > 0 || inFlight.get() >= behaviour.slots()) {
            shed.incrementAndGet();
            if (pauseMillis > 0) {
                exchange.getResponseHeaders()
                        .put(Headers.RETRY_AFTER, TimeUnit.MILLISECONDS.toSeconds(pauseMillis + 999));
            }
            exchange.setStatusCode(503);
            exchange.getResponseHeaders().put(RUN_STATE, "not-run");
            exchange.endExchange();
            return;
        }
        maxInFlight.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
        exchange.addExchangeCompleteListener((done, next) -> {
            inFlight.decrementAndGet();
            next.proceed();
        });
        exchange.getRequestReceiver()
                .receiveFullBytes((ready, body) -> run(ready, body), (failed, error) -> failed.endExchange());
    }

    private void run(HttpServerExchange exchange, byte[] body) {
        long delayMillis =
                numericParameter(exchange, "delayMillis").orElse(behaviour.serviceMillis()) * (isWarmingUp() ? 2 : 1);
        long timeoutMillis = Optional.ofNullable(exchange.getRequestHeaders().getFirst(TIMEOUT_MILLIS))
                .map(Long::valueOf)
                .orElse(Long.MAX_VALUE);
        if (delayMillis > timeoutMillis) {
            cancelled.incrementAndGet();
            exchange.setStatusCode(504);
            exchange.getResponseHeaders().put(RUN_STATE, "not-run");
            exchange.endExchange();
            return;
        }
        Optional.ofNullable(exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY))
                .ifPresent(runs::onRun);
        if (exchange.getQueryParameters().containsKey("crash")) {
            crash(exchange);
            return;
        }
        if (exchange.getQueryParameters().containsKey("hang")) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        if (delayMillis == 0) {
            respond(exchange, body);
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getIoThread()
                .executeAfter(() -> respond(exchange, body), delayMillis, TimeUnit.MILLISECONDS));
    }

    private void respond(HttpServerExchange exchange, byte[] requestBody) {
        served.incrementAndGet();
        int bytes = (int) Math.min(
                MAX_BODY_BYTES,
                numericParameter(exchange, "bytes").orElse((long) DEFAULT_BODY_BYTES + requestBody.length));
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) behaviour.endpoint().charAt(0));
        System.arraycopy(requestBody, 0, body, 0, Math.min(bytes, requestBody.length));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/octet-stream");
        boolean cut = exchange.getQueryParameters().containsKey("cut");
        boolean stall = exchange.getQueryParameters().containsKey("stall");
        if (cut || stall) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, bytes + 1L);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getResponseSender()
                    .send(ByteBuffer.wrap(body), new IncompleteBodyCallback(cut)));
            return;
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    private void crash(HttpServerExchange exchange) {
        crashed = true;
        IoUtils.safeClose(exchange.getConnection());
        new Thread(undertow::stop, "crash").start();
        onCrash.run();
    }

    private boolean isWarmingUp() {
        return servingForMillis() < behaviour.coldMillis();
    }

    private boolean isUnresponsive(ServerConnection connection) {
        if (behaviour.silentAfterMillis() <= 0) {
            return false;
        }
        Long opened = connection.getAttachment(OPENED_MILLIS);
        if (opened == null) {
            connection.putAttachment(OPENED_MILLIS, System.currentTimeMillis());
            return false;
        }
        return System.currentTimeMillis() - opened >= behaviour.silentAfterMillis();
    }

    private static Optional<Long> numericParameter(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name))
                .map(values -> values.getFirst())
                .filter(text -> text.matches("[0-9]{1,9}"))
                .map(Long::valueOf);
    }

    /** Closes the connection after an incomplete body if {@code cut} is set; otherwise leaves it open. */
    private record IncompleteBodyCallback(boolean cut) implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            if (cut) {
                IoUtils.safeClose(exchange.getConnection());
            }
        }

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException exception) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}

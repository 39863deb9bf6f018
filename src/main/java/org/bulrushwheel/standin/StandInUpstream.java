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
 * HTTP server that stands in for one upstream endpoint. Query parameters of a request choose what happens to it:
 * {@code delayMillis}, {@code bytes}, {@code crash}, {@code cut}, {@code stall} and {@code hang}.
 *
 * <p>Thread safe; start and stop are called once each.
 */
public final class StandInUpstream implements AutoCloseable {
    private static final HttpString RUN_STATE = new HttpString("Bulrushwheel-Run-State");
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString TIMEOUT_MILLIS = new HttpString("Bulrushwheel-Timeout-Millis");
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
    private volatile boolean crashed;

    /**
     * A stand-in on a port of its own.
     *
     * @param behaviour how it behaves
     * @param port TCP port on loopback, 0 for any
     * @param runs where runs are counted; may be shared
     * @param onCrash called when a request crashes it
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

    /** Starts to listen. */
    public StandInUpstream start() {
        undertow.start();
        return this;
    }

    /** Returns the address as IP:PORT. */
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

    /** Returns the requests that were run. */
    public long served() {
        return served.get();
    }

    /** Returns the requests that were refused without running them. */
    public long shed() {
        return shed.get();
    }

    /** Returns the requests whose deadline passed before they ran. */
    public long cancelled() {
        return cancelled.get();
    }

    /** Returns the most requests that ran at once. */
    public int maxInFlight() {
        return maxInFlight.get();
    }

    /** Returns how long it has served, in milliseconds. */
    public long servingForMillis() {
        return System.currentTimeMillis() - startedMillis;
    }

    /** Returns the load that it reports, in percent of its slots. */
    public int reportedLoadPercent() {
        return behaviour.reportedLoadPercent() >= 0
                ? behaviour.reportedLoadPercent()
                : 100 * inFlight.get() / behaviour.slots();
    }

    /** Refuses new work from now on; work in flight goes on. */
    public void drain() {
        draining = true;
    }

    @Override
    public void close() {
        undertow.stop();
    }

    private void handle(HttpServerExchange exchange) {
        if (isSilent(exchange.getConnection())) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
            return;
        }
        if (crashed) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        if (draining || inFlight.get() >= behaviour.slots()) {
            shed.incrementAndGet();
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
        long delayMillis = number(exchange, "delayMillis").orElse(behaviour.serviceMillis()) * (isCold() ? 2 : 1);
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
            answer(exchange, body);
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getIoThread()
                .executeAfter(() -> answer(exchange, body), delayMillis, TimeUnit.MILLISECONDS));
    }

    private void answer(HttpServerExchange exchange, byte[] requestBody) {
        served.incrementAndGet();
        int bytes = (int) Math.min(
                MAX_BODY_BYTES, number(exchange, "bytes").orElse((long) DEFAULT_BODY_BYTES + requestBody.length));
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) behaviour.endpoint().charAt(0));
        System.arraycopy(requestBody, 0, body, 0, Math.min(bytes, requestBody.length));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/octet-stream");
        boolean cut = exchange.getQueryParameters().containsKey("cut");
        boolean stall = exchange.getQueryParameters().containsKey("stall");
        if (cut || stall) {
            exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, bytes + 1L);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getResponseSender()
                    .send(ByteBuffer.wrap(body), new EndEarly(cut)));
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

    private boolean isCold() {
        return servingForMillis() < behaviour.coldMillis();
    }

    private boolean isSilent(ServerConnection connection) {
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

    private static Optional<Long> number(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getQueryParameters().get(name))
                .map(values -> values.getFirst())
                .filter(text -> text.matches("[0-9]{1,9}"))
                .map(Long::valueOf);
    }

    /** Leaves the body a byte short and ends the connection, or leaves it open without another byte. */
    private record EndEarly(boolean cut) implements IoCallback {
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

package org.bulrushwheel.server.edge;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import org.bulrushwheel.client.LoopbackPorts;
import org.bulrushwheel.logic.fleet.FleetView;
import org.bulrushwheel.logic.fleet.JsonTrafficCodec;
import org.bulrushwheel.logic.placement.PlacementSettings;
import org.bulrushwheel.logic.time.SystemTimeSource;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.model.decision.Decision;
import org.bulrushwheel.model.decision.DecisionField;
import org.bulrushwheel.model.decision.DecisionKind;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.EndpointRecord;
import org.bulrushwheel.model.proto.FleetUpdate;
import org.bulrushwheel.model.proto.PoisonRecord;
import org.bulrushwheel.model.proto.TrafficDocument;

/** An {@link EdgeServer} with a fleet view that the test controls, and a client that sends raw bytes. */
final class EdgeFixture implements AutoCloseable {
    static final String TRAFFIC =
            """
            {"version": 1,
             "routes": [
              {"name": "read", "host": "host.example", "pathPrefix": "/read/", "kind": "REPEATABLE",
               "timeoutMillis": 1500, "targetLatencyMillis": 500, "priority": 1,
               "split": [{"service": "desk", "weight": 1}], "maxAttempts": 2, "affinity": true, "homeRegions": []},
              {"name": "file", "host": "host.example", "pathPrefix": "/file/", "kind": "ONCE",
               "timeoutMillis": 1500, "targetLatencyMillis": 500, "priority": 1,
               "split": [{"service": "desk", "weight": 1}], "maxAttempts": 2, "affinity": true, "homeRegions": []}],
             "services": [{"name": "desk", "healthPath": "/health", "maxConnections": 100, "coldStartMillis": 3000,
               "coldRequestsPerSecond": 3}],
             "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 1000, "headerTimeoutMillis": 3000,
               "idleTimeoutMillis": 15000}}
            """;

    private static final int PATIENT_MILLIS = 20_000;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) loops.next();
    private final MetricRegistry metrics = new MetricRegistry();
    private final Address address =
            new Address("127.0.0.1", LoopbackPorts.free(1).get(0));
    private final EdgeServer server;
    private final List<Decision> decisions = new CopyOnWriteArrayList<>();
    private final List<ScriptedEndpoint> endpoints = new ArrayList<>();
    private volatile Consumer<Decision> decisionHook = decision -> {};
    private FleetView view = FleetView.empty();

    EdgeFixture() {
        this(EdgeHeaders.DEFAULT, EdgeSettings.maxHeldBytesOfProcess());
    }

    EdgeFixture(EdgeHeaders headers, long maxHeldBytes) {
        this(headers, maxHeldBytes, new SystemTimeSource());
    }

    EdgeFixture(EdgeHeaders headers, long maxHeldBytes, TimeSource time) {
        this(headers, maxHeldBytes, time, 0);
    }

    EdgeFixture(EdgeHeaders headers, long maxHeldBytes, TimeSource time, double linkBytesPerSecond) {
        server = new EdgeServer(
                new EdgeSettings(
                        address,
                        new PlacementSettings("entry", "r", List.of("r"), 1.5, 5),
                        10_000,
                        0.2,
                        100,
                        linkBytesPerSecond,
                        maxHeldBytes),
                headers,
                loop,
                time,
                metrics,
                this::onDecision);
        server.start();
    }

    private void onDecision(Decision decision) {
        decisions.add(decision);
        decisionHook.accept(decision);
    }

    /** Sets what is done on the event loop with each decision, in the middle of its processing. */
    void setDecisionHook(Consumer<Decision> hook) {
        decisionHook = hook;
    }

    /** Returns the decisions recorded so far. */
    List<Decision> decisions() {
        return decisions;
    }

    /** Returns the reasons of the decisions of a kind that were recorded so far. */
    List<Object> reasonsOf(DecisionKind kind) {
        return decisions.stream()
                .filter(decision -> decision.kind() == kind)
                .map(decision -> decision.fields().get(DecisionField.REASON))
                .toList();
    }

    MetricRegistry metrics() {
        return metrics;
    }

    Address address() {
        return address;
    }

    EdgeServer server() {
        return server;
    }

    /** Sets how long requests that arrive from now on have waited in the link. */
    void setArrivalDelay(long delayMillis) {
        loop.submit(() -> server.setArrivalDelay(() -> delayMillis)).syncUninterruptibly();
    }

    /** Applies the configuration {@link #TRAFFIC} and these endpoints. */
    void configure(List<EndpointRecord> endpoints) {
        update(traffic(1, TRAFFIC).addAllEndpoints(endpoints));
    }

    /** Configures endpoints e0, e1 and so on, all with the same script. */
    void serve(int count, ScriptedEndpoint.Script script) throws IOException {
        List<EndpointRecord> records = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            records.add(endpoint("e" + index, start(script)));
        }
        configure(records);
    }

    /** Starts an endpoint that ends with this fixture. */
    ScriptedEndpoint start(ScriptedEndpoint.Script script) throws IOException {
        ScriptedEndpoint endpoint = new ScriptedEndpoint(script);
        endpoints.add(endpoint);
        return endpoint;
    }

    /** Returns the endpoints that were started, in this order. */
    List<ScriptedEndpoint> endpoints() {
        return endpoints;
    }

    /** Returns how many requests these endpoints have received together. */
    int totalReceived() {
        return endpoints.stream().mapToInt(each -> each.received().size()).sum();
    }

    /** Returns an update to a version of the configuration. */
    static FleetUpdate.Builder traffic(int version, String document) {
        return FleetUpdate.newBuilder()
                .setHasTraffic(true)
                .setTraffic(TrafficDocument.newBuilder()
                        .setVersion(version)
                        .setDocument(ByteString.copyFromUtf8(document)));
    }

    void update(FleetUpdate.Builder update) {
        updateSoon(update).syncUninterruptibly();
    }

    /** Applies an update as the next task of the event loop; does not wait for it. */
    Future<?> updateSoon(FleetUpdate.Builder update) {
        FleetUpdate nextUpdate = update.setFromRevision(view.revision())
                .setRevision(view.revision() + 1)
                .setEntryInstances(Math.max(1, update.getEntryInstances()))
                .build();
        return loop.submit(() -> {
            view = view.withUpdate(
                    nextUpdate, new JsonTrafficCodec(), Map.of("z", "r"), new SystemTimeSource().monotonicMillis());
            server.updateView(view);
        });
    }

    /** Does something while the server's event loop stands still; the server then sees all effects at once. */
    void whileServerPauses(ScriptedEndpoint.IoTask work) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        Future<?> pause = loop.submit(() -> done.await(5, TimeUnit.SECONDS));
        try {
            work.run();
        } finally {
            done.countDown();
        }
        pause.syncUninterruptibly();
    }

    /** Merges other instances' records of requests that are suspected of crashing endpoints. */
    void mergePoison(List<PoisonRecord> records) {
        loop.submit(() -> records.forEach(server::mergePoison)).syncUninterruptibly();
    }

    static EndpointRecord endpoint(String id, ScriptedEndpoint endpoint) {
        return EndpointRecord.newBuilder()
                .setId(id)
                .setService("desk")
                .setAddress(endpoint.address())
                .setZone("z")
                .setSlots(4)
                .build();
    }

    static String get(String path, String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: host.example\r\nBulrushwheel-Request-Id: " + id
                + "\r\nBulrushwheel-Affinity-Key: 17\r\nBulrushwheel-Timeout-Millis: 1200\r\n\r\n";
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(5_000);
        return socket;
    }

    /** Sends bytes on a new connection and returns everything received until the connection is closed. */
    String sendRaw(String bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return readAll(socket.getInputStream());
        }
    }

    /** Sends a request with {@code Connection: close} and returns the raw response. */
    String call(String path, String id) throws IOException {
        return sendRaw(get(path, id).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
    }

    /** Sends a request whose deadline is too far away to end it on a busy machine, and returns the raw response. */
    String callPatiently(String path, String id) throws IOException {
        update(traffic(2, TRAFFIC.replace("\"timeoutMillis\": 1500", "\"timeoutMillis\": " + PATIENT_MILLIS)));
        String request = get(path, id)
                .replace("Timeout-Millis: 1200", "Timeout-Millis: " + PATIENT_MILLIS)
                .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
        try (Socket socket = connect()) {
            socket.setSoTimeout(PATIENT_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readAll(socket.getInputStream());
        }
    }

    static String readAll(InputStream input) throws IOException {
        return new String(input.readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        server.stop();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
        try {
            for (ScriptedEndpoint endpoint : endpoints) {
                endpoint.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

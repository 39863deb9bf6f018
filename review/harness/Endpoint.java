package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for an endpoint of the pages: slots and a queue, signed answers, X-Not-Executed when it is full or is asked
 * for another instance, heartbeats, and a crash on a request whose path holds "poison".
 */
final class Endpoint implements AutoCloseable {
    /** What a case wants to know of each request that an endpoint begins to run. */
    interface Listener {
        void arrived(Endpoint endpoint, Http.Message request);
    }

    private static final int QUEUE = 12;
    private static final AtomicInteger STARTS = new AtomicInteger();

    final String service;
    final String zone;
    final int slots;
    private final Rig rig;
    private final Listener listener;
    private final String host;
    private int port;
    volatile String id = "";
    private volatile long born;
    private final AtomicLong sequence = new AtomicLong();
    private volatile long coldUntilNanos = System.nanoTime();
    private volatile ServerSocket server;
    private volatile Thread beats;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile Semaphore free;
    private final AtomicInteger waiting = new AtomicInteger();
    private volatile boolean stopped;
    /** Path whose next answers are lost: the request runs and the connection is reset. */
    volatile String lostPath = "";

    final AtomicInteger answersToLose = new AtomicInteger();

    Endpoint(Rig rig, String service, String zone, int slots, Listener listener) {
        this.rig = rig;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.listener = listener;
        this.host = rig.nextHost();
    }

    /** Starts a new incarnation with a new id, cold for the given time. */
    synchronized void start(long coldMillis) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
        port = opened.getLocalPort();
        server = opened;
        id = "i-" + Integer.toHexString(STARTS.incrementAndGet()) + Integer.toHexString(port);
        born = System.currentTimeMillis();
        sequence.set(0);
        free = new Semaphore(slots, true);
        waiting.set(0);
        becomeCold(coldMillis);
        rig.thread("accept " + id, () -> accept(opened));
        String current = id;
        beats = rig.thread("beats " + id, () -> beat(current));
    }

    void becomeCold(long millis) {
        coldUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    long coldRemainingMillis() {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(coldUntilNanos - System.nanoTime()));
    }

    String address() {
        return host + ":" + port;
    }

    /** Ends at once, as a crash does: nothing is sent, and the connections break. */
    synchronized void crash() {
        id = "";
        try {
            if (server != null) {
                server.close();
            }
        } catch (IOException e) {
            rig.record.line("endpoint at " + address() + " closes: " + e);
        }
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                rig.record.line("endpoint at " + address() + " closes: " + e);
            }
        }
        sockets.clear();
        if (beats != null) {
            beats.interrupt();
        }
    }

    @Override
    public void close() {
        stopped = true;
        crash();
    }

    /** Time of the first heartbeat acknowledged while cold, since a case has last set this back. */
    volatile double coldAcknowledgedAt = Double.MAX_VALUE;

    /** Sends one heartbeat now, to one control instance after the other until one acknowledges it. */
    boolean heartbeat() {
        boolean cold = coldRemainingMillis() > 0;
        String body = String.format(
                java.util.Locale.ROOT,
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                        + "\"state\":\"ready\",\"coldRemainingS\":%.3f,\"sequence\":%d,\"born\":%d}",
                service,
                address(),
                zone,
                slots,
                coldRemainingMillis() / 1_000.0,
                sequence.incrementAndGet(),
                born);
        String path = "/api/Instances.Heartbeat/" + id;
        List<String> targets = rig.controlAddresses();
        int first = Math.floorMod(id.hashCode(), targets.size());
        for (int index = 0; index < targets.size(); index++) {
            String target = targets.get((first + index) % targets.size());
            try {
                Http.Message answer = Http.call(
                        target,
                        "POST",
                        path,
                        Map.of("Host", target, "Content-Type", "application/json"),
                        body.getBytes(StandardCharsets.UTF_8),
                        1_000);
                if (answer.status() / 100 == 2) {
                    rig.record.line("heartbeat acknowledged " + id + " " + body);
                    if (cold && coldAcknowledgedAt == Double.MAX_VALUE) {
                        coldAcknowledgedAt = rig.record.now();
                    }
                    return true;
                }
            } catch (IOException e) {
                rig.record.line("heartbeat of " + id + " at " + target + ": " + e.getMessage());
            }
        }
        return false;
    }

    private void beat(String current) {
        try {
            while (!stopped && id.equals(current)) {
                heartbeat();
                Thread.sleep(1_500);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept(ServerSocket opened) {
        while (!opened.isClosed()) {
            try {
                Socket socket = opened.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                rig.thread("serve", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            while (!stopped) {
                Http.Message request = Http.read(in, false);
                answer(request, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller has closed the connection, this endpoint has ended, or an answer is to be lost: it is reset.
            reset(socket);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // Closed already.
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String path = request.start.split(" ")[1];
        if (path.equals("/health")) {
            write(out, 200, request, "X-Instance-Id: " + id + "\r\nX-Cold-Ms: " + coldRemainingMillis() + "\r\n", "ok");
            return;
        }
        String expected = request.header("x-expected-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            write(out, 421, request, "X-Not-Executed: 1\r\n", "");
            return;
        }
        listener.arrived(this, request);
        Semaphore slot = free;
        if (!slot.tryAcquire()) {
            if (waiting.incrementAndGet() > QUEUE) {
                waiting.decrementAndGet();
                write(out, 503, request, "X-Not-Executed: 1\r\n", "");
                return;
            }
            slot.acquire();
            waiting.decrementAndGet();
        }
        try {
            rig.record.line("runs " + request.header("x-request-id") + " at " + id + " " + request.start);
            if (path.contains("poison")) {
                crash();
                return;
            }
            Thread.sleep(workMillis(path));
            if (path.equals(lostPath) && answersToLose.getAndDecrement() > 0) {
                rig.record.line("answer to " + request.header("x-request-id") + " is lost at " + id);
                throw new IOException("answer lost");
            }
            String body = "answer to " + request.header("x-request-id") + " of " + request.body.length + " bytes";
            write(out, 200, request, "", body);
        } finally {
            slot.release();
        }
    }

    /** The work stands in the path, as in /desk/w880/7. */
    private static long workMillis(String path) {
        for (String part : path.split("/")) {
            if (part.matches("w[0-9]+")) {
                return Long.parseLong(part.substring(1));
            }
        }
        return 20;
    }

    private void write(OutputStream out, int status, Http.Message request, String headers, String body)
            throws IOException {
        int running = slots - free.availablePermits();
        String load = running + "," + waiting.get() + "," + slots;
        String head = "HTTP/1.1 " + status + " -\r\nX-Request-Id: " + request.header("x-request-id")
                + "\r\nX-Server-Signature: s." + id + "." + body.hashCode() + "\r\nX-Server-Load: " + load
                + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        synchronized (out) {
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}

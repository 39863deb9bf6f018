import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A stand-in for an endpoint: announces itself, processes requests in its slots, and signs its responses. */
final class Endpoint implements AutoCloseable {
    /** How an endpoint answers a request that it runs. */
    interface Work {
        /** Writes the whole response and returns whether the connection is kept. */
        boolean run(Endpoint endpoint, Request request, OutputStream out) throws IOException;
    }

    record Request(String id, String method, String target, Map<String, String> headers, byte[] body) {}

    private static final int QUEUE = 12;
    private static final int IDLE_SECONDS = 10;
    private static final double BEAT_SECONDS = 1.5;

    final String id;
    final String service;
    private final String zone;
    private final int slotCount;
    private final Semaphore slots;
    private final Semaphore places;
    private final ServerSocket listener;
    private final Work work;
    private final Fleet fleet;
    private final Supplier<List<Fleet.Machine>> controls;
    private final Recorder record;
    private final long bornMillis = System.currentTimeMillis();
    private volatile boolean closed;
    private volatile boolean acknowledged;

    Endpoint(
            String id,
            String service,
            String zone,
            String ip,
            int slotCount,
            Work work,
            Fleet fleet,
            Supplier<List<Fleet.Machine>> controls,
            Recorder record)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slotCount = slotCount;
        this.slots = new Semaphore(slotCount, true);
        this.places = new Semaphore(slotCount + QUEUE);
        this.work = work;
        this.fleet = fleet;
        this.controls = controls;
        this.record = record;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName(ip));
        thread("accept", this::accept);
        thread("beat", this::announce);
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    private void thread(String name, Runnable task) {
        Thread thread = new Thread(task, id + "-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private void announce() {
        for (int sequence = 1; !closed; sequence++) {
            String beat = String.format(
                    Locale.ROOT,
                    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                            + "\"state\":\"ready\",\"coldRemainingS\":0,\"sequence\":%d,\"born\":%d}",
                    service, listener.getInetAddress().getHostAddress(), listener.getLocalPort(), zone, slotCount,
                    sequence, bornMillis);
            List<Fleet.Machine> known = controls.get();
            for (int attempt = 0; attempt < known.size() && !closed; attempt++) {
                Fleet.Machine control = known.get((attempt + Math.floorMod(id.hashCode(), known.size())) % known.size());
                int status = Calls.call(
                                fleet.control(control),
                                "POST",
                                "/api/Instances.Heartbeat/" + id,
                                "Host: control\r\nContent-Type: application/json\r\n",
                                beat.getBytes(StandardCharsets.UTF_8),
                                1_000)
                        .status();
                if (status >= 200 && status < 300) {
                    acknowledged = true;
                    break;
                }
            }
            Operator.pause((long) (BEAT_SECONDS * 1_000));
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                thread("connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_SECONDS * 1_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Request request = read(in);
            while (request != null && answer(request, out)) {
                request = read(in);
            }
        } catch (IOException e) {
            // The caller has closed the connection, or it was idle for too long.
        }
    }

    private boolean answer(Request request, OutputStream out) throws IOException {
        String expected = request.headers().get("x-expected-instance");
        if (request.id() == null) {
            return refuse(request, out, "400 Bad Request");
        }
        if (expected != null && !expected.equals(id)) {
            return refuse(request, out, "421 Misdirected Request");
        }
        if (!places.tryAcquire()) {
            return refuse(request, out, "503 Service Unavailable");
        }
        try {
            slots.acquireUninterruptibly();
            try {
                record.line(id + " runs " + request.id() + " " + request.method() + " " + request.target());
                return work.run(this, request, out);
            } finally {
                slots.release();
            }
        } finally {
            places.release();
        }
    }

    private boolean refuse(Request request, OutputStream out, String status) throws IOException {
        write(out, "HTTP/1.1 " + status + "\r\n"
                + (request.id() == null ? "" : "X-Request-Id: " + request.id() + "\r\n")
                + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    }

    /** Returns the head of a signed response. */
    String head(Request request, String status, int length) {
        return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.id() + "\r\nX-Server-Signature: " + id + "."
                + request.id() + "\r\nX-Server-Load: " + (slotCount - slots.availablePermits()) + ",0," + slotCount
                + "\r\nKeep-Alive: timeout=" + IDLE_SECONDS + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void work(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Request read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        String[] start = line.split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(headers.get("x-request-id"), start[0], start[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = text.length();
                return length > 0 && text.charAt(length - 1) == '\r' ? text.substring(0, length - 1) : text.toString();
            }
            text.append((char) next);
        }
        return null;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}

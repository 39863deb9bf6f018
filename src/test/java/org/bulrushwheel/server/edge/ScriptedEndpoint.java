package org.bulrushwheel.server.edge;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Endpoint whose responses are scripted byte by byte by a test. Each connection has its own thread. */
public final class ScriptedEndpoint implements AutoCloseable {
    /** A request as received. */
    public record Received(String line, Map<String, String> headers, String body) {
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Answers a request on its connection. */
    public interface Script {
        void answer(Received request, Connection connection) throws IOException, InterruptedException;
    }

    /** One connection of a caller. */
    public record Connection(Socket socket, OutputStream output, ScriptedEndpoint endpoint) {
        public void send(String bytes) throws IOException {
            output.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }

        /** Closes the connection with a TCP reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Ends like a process that crashes: nothing listens any more, and the connection is reset. */
        void crash() throws IOException, InterruptedException {
            endpoint.stopListening();
            reset();
        }

        /** Returns whether the other side closes the connection within the given time. */
        public boolean isClosedWithin(int millis) throws IOException {
            socket.setSoTimeout(millis);
            try {
                return socket.getInputStream().read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }
    }

    private final ServerSocket listener;
    private final Thread acceptor;
    private final Script script;
    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final AtomicInteger openConnections = new AtomicInteger();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    public ScriptedEndpoint(Script script) throws IOException {
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.script = script;
        this.acceptor = start(this::accept);
    }

    public static String ok(Received request, String body) {
        return "HTTP/1.1 200 OK\r\nBulrushwheel-Request-Id: " + request.header("Bulrushwheel-Request-Id")
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String notExecuted(Received request) {
        return "HTTP/1.1 503 Service Unavailable\r\nBulrushwheel-Not-Executed: 1\r\nBulrushwheel-Request-Id: "
                + request.header("Bulrushwheel-Request-Id") + "\r\nContent-Length: 0\r\n\r\n";
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    public List<Received> received() {
        return received;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            sockets.add(socket);
            start(() -> serve(socket));
        }
    }

    /** Returns when no connection is accepted any more. */
    private void stopListening() throws IOException, InterruptedException {
        listener.close();
        // The port stays open after close() until the thread in accept() has woken up.
        acceptor.join();
    }

    /** Returns how many connections the other side keeps open. */
    public int openConnections() {
        return openConnections.get();
    }

    /**
     * Returns how many connections the other side keeps open, as soon as there are none or after the given time: an end is
     * counted by a thread that may be late.
     */
    public int openConnectionsAfter(int millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (openConnections() > 0 && System.nanoTime() - deadlineNanos < 0) {
            Thread.sleep(1);
        }
        return openConnections();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        openConnections.incrementAndGet();
        try {
            serveUntilClosed(socket);
        } finally {
            openConnections.decrementAndGet();
        }
    }

    private void serveUntilClosed(Socket socket) throws IOException, InterruptedException {
        InputStream input = new BufferedInputStream(socket.getInputStream());
        Connection connection = new Connection(socket, socket.getOutputStream(), this);
        while (!socket.isClosed()) {
            String line = readLine(input);
            if (line.isEmpty()) {
                return;
            }
            Map<String, String> headers = new TreeMap<>();
            for (String header = readLine(input); !header.isEmpty(); header = readLine(input)) {
                int colon = header.indexOf(':');
                headers.put(
                        header.substring(0, colon).toLowerCase(Locale.ROOT),
                        header.substring(colon + 1).strip());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            Received request =
                    new Received(line, headers, new String(input.readNBytes(length), StandardCharsets.ISO_8859_1));
            received.add(request);
            script.answer(request, connection);
        }
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0 && next != '\n'; next = input.read()) {
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Task that may fail when the test closes its connection. */
    interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private static Thread start(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The test or the other side has closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}

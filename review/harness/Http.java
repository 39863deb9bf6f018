package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 messages over plain sockets. Header names are in lower case. */
final class Http {
    /** A request or a response; {@code start} is its first line. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** One client connection. */
    static final class Connection implements AutoCloseable {
        final Socket socket = new Socket();
        final BufferedInputStream in;
        final OutputStream out;

        Connection(String address, int timeoutMillis) throws IOException {
            int colon = address.lastIndexOf(':');
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(1_000, timeoutMillis));
            socket.setSoTimeout(timeoutMillis);
            in = new BufferedInputStream(socket.getInputStream(), 65_536);
            out = socket.getOutputStream();
        }

        void send(String method, String path, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || !method.equals("GET")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            head.append("\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.write(body);
            out.write(whole.toByteArray());
            out.flush();
        }

        Message receive() throws IOException {
            return read(in, true);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private Http() {}

    /** One call on its own connection. */
    static Message call(
            String address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis)
            throws IOException {
        try (Connection connection = new Connection(address, timeoutMillis)) {
            connection.send(method, path, headers, body);
            return connection.receive();
        }
    }

    /** Reads one message with a length or in chunks; fails if it ends early. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        message.start = line(in);
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.put(
                    header.substring(0, colon).strip().toLowerCase(java.util.Locale.ROOT),
                    header.substring(colon + 1).strip());
        }
        if (message.header("transfer-encoding").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (message.headers.containsKey("content-length")) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        } else if (response && message.status() != 204) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].strip(), 16);
    }

    private static byte[] exactly(InputStream in, int bytes) throws IOException {
        byte[] body = in.readNBytes(bytes);
        if (body.length < bytes) {
            throw new EOFException("the body ended after " + body.length + " of " + bytes + " bytes");
        }
        return body;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                text.write(next);
            }
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }
}

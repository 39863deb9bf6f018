import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One HTTP/1.1 call on a connection of its own, which is closed when there is no answer in time. */
final class Calls {
    /** Status 0 means that there was no whole answer. */
    record Answer(int status, String head, String body) {}

    private Calls() {}

    static Answer call(String address, String method, String path, String headers, byte[] body, int timeoutMillis) {
        int colon = address.lastIndexOf(':');
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    Math.min(timeoutMillis, 1_000));
            socket.setTcpNoDelay(true);
            String head = method + " " + path + " HTTP/1.1\r\n" + headers + "Connection: close\r\n"
                    + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "")
                    + "\r\n";
            socket.getOutputStream().write(concat(head.getBytes(StandardCharsets.ISO_8859_1), body));
            socket.getOutputStream().flush();
            return read(socket, deadlineNanos);
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()), "");
        }
    }

    private static Answer read(Socket socket, long deadlineNanos) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[65_536];
        while (true) {
            long leftMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) {
                throw new IOException("no answer in time");
            }
            socket.setSoTimeout((int) Math.max(1, leftMillis));
            int count = in.read(buffer);
            if (count > 0) {
                bytes.write(buffer, 0, count);
            }
            Answer answer = parse(bytes.toString(StandardCharsets.ISO_8859_1), count < 0);
            if (answer != null) {
                return answer;
            }
            if (count < 0) {
                throw new IOException("the connection ended without a whole answer");
            }
        }
    }

    private static Answer parse(String text, boolean ended) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return null;
        }
        String head = text.substring(0, end);
        String body = text.substring(end + 4);
        int status = Integer.parseInt(head.split(" ")[1]);
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) {
                int length = Integer.parseInt(line.substring(15).strip());
                return body.length() >= length ? new Answer(status, head, body.substring(0, length)) : null;
            }
        }
        return ended ? new Answer(status, head, body) : null;
    }

    private static byte[] concat(byte[] one, byte[] other) {
        byte[] both = java.util.Arrays.copyOf(one, one.length + other.length);
        System.arraycopy(other, 0, both, one.length, other.length);
        return both;
    }
}

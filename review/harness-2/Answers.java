import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.Locale;

/** Reads the answers on a caller's connection. */
final class Answers {
    private Answers() {}

    /** Reads a whole answer; returns whether the connection is kept. */
    static boolean read(InputStream in, String id, Recorder record) throws IOException {
        String status = line(in);
        int length = -1;
        boolean kept = true;
        for (String field = line(in); !field.isEmpty(); field = line(in)) {
            String lower = field.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).strip());
            }
            kept &= !lower.equals("connection: close");
        }
        if (length < 0) {
            throw new IOException("an answer without a length to " + id + ": " + status);
        }
        if (in.readNBytes(length).length < length) {
            throw new IOException("the answer to " + id + " ended early");
        }
        record.line("answer to " + id + ": " + status + ", " + length + " bytes");
        return kept;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the connection was closed");
            }
            if (next != '\r') {
                text.append((char) next);
            }
        }
        return text.toString();
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start of the case. */
final class Recorder implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        String complete = String.format(Locale.ROOT, "%7.3f %s", seconds(), text);
        out.println(complete);
        out.flush();
        if (System.getenv("ECHO") != null) {
            System.out.println(complete);
        }
    }

    @Override
    public void close() {
        out.close();
    }
}

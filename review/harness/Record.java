package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start of the case. */
final class Record implements AutoCloseable {
    private final BufferedWriter out;
    private final long startNanos = System.nanoTime();
    private boolean closed;

    Record(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    /** Seconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String text) {
        if (closed) {
            return;
        }
        try {
            out.write(String.format("%8.3f  %s%n", now(), text));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes a line that is also shown. */
    void tell(String text) {
        line(text);
        System.out.printf("%8.3f  %s%n", now(), text);
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        out.close();
    }
}

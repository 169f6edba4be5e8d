package standins3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, one line per event with the time since the start. Thread-safe. */
public final class Record implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    /** Creates the file, or empties it. */
    public Record(Path file) {
        try {
            this.out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the time in ms since the start. */
    public long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line. */
    public synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f  %s%n", nowMs() / 1000.0, String.format(Locale.ROOT, format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

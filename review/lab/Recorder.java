package lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, one line an event, with the time in ms since the start of the case. */
public final class Recorder {

    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    public Recorder(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the time in ms since the start of the case. */
    public long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public synchronized void line(String who, Object... parts) {
        StringBuilder text = new StringBuilder(String.format("%8d %-10s", nowMs(), who));
        for (Object part : parts) {
            text.append(' ').append(part);
        }
        out.println(text);
    }

    /** Writes a line also to standard output. */
    public synchronized void say(String text) {
        line("case", text);
        System.out.println(text);
    }
}

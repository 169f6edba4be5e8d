package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes what was sent, answered and run, with the time in ms since the start. Thread-safe. */
public final class Recorder implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final List<String> broken = new ArrayList<>();

    public Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    public long ms() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public synchronized void line(String text) {
        out.printf("%7d %s%n", ms(), text);
        out.flush();
    }

    /** Records that the rule was broken. */
    public synchronized void broken(String text) {
        broken.add(text);
        line("BROKEN " + text);
    }

    public synchronized List<String> broken() {
        return List.copyOf(broken);
    }

    /** Starts anew with the count of broken rules. */
    public synchronized void forgetBroken() {
        broken.clear();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

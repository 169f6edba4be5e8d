package org.fuchsiawinch.golden;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the transcript of a session, one line of {@code key=value} pairs for each exchange. Exchanges about several
 * parts of one attempt at the same time share a line; frequent exchanges are only counted. Not thread-safe.
 */
final class Transcript {

    private final List<String> lines = new ArrayList<>();
    // Lines of the time partLinesMs that can still grow: indexes of the parts, by text of the line and by worker.
    private final Map<String, Map<String, List<Integer>>> partLines = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> counts = new TreeMap<>();
    private long partLinesMs;

    /** Adds a line without a time, such as the heading. */
    void addLine(String text) {
        flushParts();
        lines.add(text);
    }

    /** Adds an exchange. */
    void addExchange(long atMs, String from, String to, String kind, String details) {
        flushParts();
        lines.add(line(atMs, from, to, kind, details));
    }

    /** Adds an exchange about one part; exchanges of the same time, parties, kind and details share a line. */
    void addPart(long atMs, String from, String to, String kind, String details, String worker, int part) {
        if (atMs != partLinesMs) {
            flushParts();
        }
        partLinesMs = atMs;
        partLines
                .computeIfAbsent(line(atMs, from, to, kind, details), key -> new TreeMap<>())
                .computeIfAbsent(worker, key -> new ArrayList<>())
                .add(part);
    }

    /** Counts an exchange instead of adding a line. */
    void count(String party, String kind) {
        counts.computeIfAbsent(party, key -> new TreeMap<>()).merge(kind, 1L, Long::sum);
    }

    /** Adds the counts of exchanges, one line for each party. */
    void addCounts() {
        flushParts();
        counts.forEach((party, kinds) -> {
            StringBuilder text = new StringBuilder("counted party=" + party);
            kinds.forEach(
                    (kind, count) -> text.append(' ').append(kind).append('=').append(count));
            lines.add(text.toString());
        });
    }

    /** Returns the whole text, each line terminated by a line feed. */
    String text() {
        flushParts();
        return String.join("\n", lines) + "\n";
    }

    private void flushParts() {
        partLines.forEach((line, workers) -> {
            StringBuilder text = new StringBuilder(line + " parts=");
            workers.forEach((worker, parts) -> {
                text.append(text.charAt(text.length() - 1) == '=' ? "" : ";").append(worker);
                text.append(':').append(joinSorted(parts));
            });
            lines.add(text.toString());
        });
        partLines.clear();
    }

    private static String joinSorted(List<Integer> parts) {
        return String.join(",", parts.stream().sorted().map(String::valueOf).toList());
    }

    private static String line(long atMs, String from, String to, String kind, String details) {
        String head = String.format(Locale.ROOT, "t=%06d from=%s to=%s kind=%s", atMs, from, to, kind);
        return details.isEmpty() ? head : head + " " + details;
    }
}

package org.fuchsiawinch.golden;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Computes the differing range of lines of two texts. */
final class TextDiff {

    private static final int CONTEXT_LINES = 3;
    private static final int MAX_LINES_PER_SIDE = 8;

    private TextDiff() {}

    /**
     * Returns the lines from the first to the last difference in unified form, with {@link #CONTEXT_LINES} lines of
     * context and at most {@link #MAX_LINES_PER_SIDE} differing lines of each text.
     *
     * @param name name of the texts
     * @param expected text of the file
     * @param actual text of this run
     * @return the difference; empty if the texts are identical
     */
    static Optional<String> between(String name, String expected, String actual) {
        if (expected.equals(actual)) {
            return Optional.empty();
        }
        List<String> before = List.of(expected.split("\n", -1));
        List<String> after = List.of(actual.split("\n", -1));
        int first = commonPrefix(before, after);
        int suffix = commonSuffix(before, after, first);
        int from = Math.max(0, first - CONTEXT_LINES);
        List<String> lines = new ArrayList<>();
        lines.add("--- " + name + " (file)");
        lines.add("+++ " + name + " (this run)");
        lines.add("@@ line " + (first + 1) + ", " + (before.size() - suffix - first) + " lines in the file, "
                + (after.size() - suffix - first) + " in this run @@");
        before.subList(from, first).forEach(line -> lines.add(" " + line));
        addLimited(lines, "-", before.subList(first, before.size() - suffix));
        addLimited(lines, "+", after.subList(first, after.size() - suffix));
        int last = before.size() - suffix;
        before.subList(last, Math.min(before.size(), last + CONTEXT_LINES)).forEach(line -> lines.add(" " + line));
        return Optional.of(String.join("\n", lines));
    }

    private static int commonPrefix(List<String> before, List<String> after) {
        int limit = Math.min(before.size(), after.size());
        int index = 0;
        while (index < limit && before.get(index).equals(after.get(index))) {
            index++;
        }
        return index;
    }

    private static int commonSuffix(List<String> before, List<String> after, int start) {
        int limit = Math.min(before.size(), after.size()) - start;
        int count = 0;
        while (count < limit && before.get(before.size() - 1 - count).equals(after.get(after.size() - 1 - count))) {
            count++;
        }
        return count;
    }

    private static void addLimited(List<String> lines, String sign, List<String> changed) {
        changed.stream().limit(MAX_LINES_PER_SIDE).forEach(line -> lines.add(sign + line));
        if (changed.size() > MAX_LINES_PER_SIDE) {
            lines.add(sign + "... " + (changed.size() - MAX_LINES_PER_SIDE) + " more lines");
        }
    }
}

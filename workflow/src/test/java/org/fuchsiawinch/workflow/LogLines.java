package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Lines that an owner has logged, with their keys and values. */
final class LogLines {

    private record Line(String event, Map<String, String> values) {}

    private final List<Line> lines = new ArrayList<>();

    void add(String event, Object... pairs) {
        Map<String, String> values = new TreeMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            values.put((String) pairs[i], String.valueOf(pairs[i + 1]));
        }
        lines.add(new Line(event, values));
    }

    /** Returns the keys and values of all lines of an event, in order. */
    List<Map<String, String>> of(String event) {
        return lines.stream()
                .filter(line -> line.event().equals(event))
                .map(Line::values)
                .toList();
    }

    /** Returns the keys and values of the only line of an event. */
    Map<String, String> only(String event) {
        List<Map<String, String>> found = of(event);
        if (found.size() != 1) {
            throw new AssertionError("one line of " + event + " expected, found " + found);
        }
        return found.get(0);
    }
}

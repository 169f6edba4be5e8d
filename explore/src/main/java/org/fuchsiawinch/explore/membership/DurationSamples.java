package org.fuchsiawinch.explore.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Times in ms with their median and maximum. Not thread-safe. */
public final class DurationSamples {

    private final List<Long> valuesMs = new ArrayList<>();

    /** Creates an empty list. */
    public DurationSamples() {
        // Nothing to prepare.
    }

    /** Adds a time. */
    public void add(long valueMs) {
        valuesMs.add(valueMs);
    }

    /** Returns the number of times. */
    public int count() {
        return valuesMs.size();
    }

    /** Returns the median (the lower of two middle values), or 0 if there are none. */
    public long medianMs() {
        if (valuesMs.isEmpty()) {
            return 0;
        }
        List<Long> sorted = new ArrayList<>(valuesMs);
        Collections.sort(sorted);
        return sorted.get((sorted.size() - 1) / 2);
    }

    /** Returns the maximum, or 0 if there are none. */
    public long maxMs() {
        return valuesMs.stream().mapToLong(Long::longValue).max().orElse(0);
    }
}

package org.fuchsiawinch.explore.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Sample of durations in ms, with median and maximum. Not thread-safe. */
public final class DurationSamples {

    private final List<Long> valuesMs = new ArrayList<>();

    /** Creates an empty sample. */
    public DurationSamples() {
        // Fields are initialised inline.
    }

    /** Adds a duration in ms. */
    public void add(long valueMs) {
        valuesMs.add(valueMs);
    }

    /** Returns the number of durations. */
    public int count() {
        return valuesMs.size();
    }

    /** Returns the median in ms (the lower of the two middle values), or 0 if the sample is empty. */
    public long medianMs() {
        if (valuesMs.isEmpty()) {
            return 0;
        }
        List<Long> sorted = new ArrayList<>(valuesMs);
        Collections.sort(sorted);
        return sorted.get((sorted.size() - 1) / 2);
    }

    /** Returns the maximum in ms, or 0 if the sample is empty. */
    public long maxMs() {
        return valuesMs.stream().mapToLong(Long::longValue).max().orElse(0);
    }
}

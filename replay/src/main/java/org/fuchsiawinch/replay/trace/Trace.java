package org.fuchsiawinch.replay.trace;

import java.util.List;

/**
 * A whole trace. Immutable.
 *
 * @param name short name
 * @param horizonMs time in ms at which a replay ends at the latest
 * @param events events in order of time
 */
public record Trace(String name, long horizonMs, List<TraceEvent> events) {

    /** Version of the format that this release reads and writes. */
    public static final int FORMAT = 1;

    /**
     * Copies the list.
     */
    public Trace {
        events = List.copyOf(events);
    }

    /**
     * Tells when the last event of the trace happens; measures over time end here for every policy alike.
     *
     * @return time in ms
     */
    public long lastEventMs() {
        return events.isEmpty() ? 0 : events.get(events.size() - 1).atMs();
    }
}

package org.fuchsiawinch.replay.trace;

import java.util.List;

/**
 * Trace of jobs and cluster events to replay. Immutable.
 *
 * @param name short name
 * @param horizonMs latest time in ms at which a replay ends
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
     * Returns the time of the last event; time averages end there for every policy.
     *
     * @return time in ms; 0 if the trace has no events
     */
    public long lastEventMs() {
        return events.isEmpty() ? 0 : events.get(events.size() - 1).atMs();
    }
}

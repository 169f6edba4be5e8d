package org.fuchsiawinch.membership.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.NodeId;

/** Deadlines by which suspected members have to refute and silent leaving members have to answer. Not thread-safe. */
public final class SuspicionTimers {

    private final Map<NodeId, Long> deadlinesMs = new LinkedHashMap<>();

    /** Creates an empty set of timers. */
    public SuspicionTimers() {
        // Fields are initialised inline.
    }

    /** Starts the timer of a node unless it is already running. */
    public void start(NodeId id, long deadlineMs) {
        deadlinesMs.putIfAbsent(id, deadlineMs);
    }

    /** Stops the timer of a node, if any. */
    public void cancel(NodeId id) {
        deadlinesMs.remove(id);
    }

    /** Postpones all deadlines by a duration, in ms. */
    public void postpone(long byMs) {
        deadlinesMs.replaceAll((id, deadlineMs) -> deadlineMs + byMs);
    }

    /** Removes and returns the nodes whose deadline has passed. */
    public List<NodeId> expired(long nowMs) {
        List<NodeId> due = new ArrayList<>();
        deadlinesMs.forEach((id, deadlineMs) -> {
            if (deadlineMs <= nowMs) {
                due.add(id);
            }
        });
        due.forEach(deadlinesMs::remove);
        return due;
    }
}

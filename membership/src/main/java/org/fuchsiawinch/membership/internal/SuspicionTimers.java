package org.fuchsiawinch.membership.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.model.NodeId;

/** Times by which suspects have to refute. Not thread-safe. */
public final class SuspicionTimers {

    private final Map<NodeId, Long> deadlinesMs = new LinkedHashMap<>();

    /** Creates an empty set of timers. */
    public SuspicionTimers() {
        // Nothing to prepare.
    }

    /** Starts a timer unless one runs for the node. */
    public void start(NodeId id, long deadlineMs) {
        deadlinesMs.putIfAbsent(id, deadlineMs);
    }

    /** Stops the timer of a node, if any. */
    public void cancel(NodeId id) {
        deadlinesMs.remove(id);
    }

    /** Moves all deadlines, after a pause of this node. */
    public void postpone(long byMs) {
        deadlinesMs.replaceAll((id, deadlineMs) -> deadlineMs + byMs);
    }

    /** Removes and returns the nodes whose time is up. */
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

package org.fuchsiawinch.membership.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.model.NodeId;

/**
 * Statements that still have to be spread, each a bounded number of times, the least sent first. Bounded: when full,
 * the most sent one is dropped, and the comparison of views carries it instead. Not thread-safe.
 */
public final class UpdateQueue {

    private static final int CAPACITY = 64;

    private final Map<NodeId, QueuedUpdate> queue = new LinkedHashMap<>();

    /** A statement and how often it was sent. */
    private static final class QueuedUpdate {

        private final Member update;
        private int sendCount;

        QueuedUpdate(Member update) {
            this.update = update;
        }

        int sendCount() {
            return sendCount;
        }
    }

    /** Creates an empty queue. */
    public UpdateQueue() {
        // Nothing to prepare.
    }

    /** Adds a statement; it replaces the one on the same node. */
    public void add(Member update) {
        queue.remove(update.id());
        if (queue.size() >= CAPACITY) {
            QueuedUpdate mostSent = queue.values().stream()
                    .max(Comparator.comparingInt(QueuedUpdate::sendCount))
                    .orElseThrow();
            queue.remove(mostSent.update.id());
        }
        queue.put(update.id(), new QueuedUpdate(update));
    }

    /** Returns whether there is nothing to spread. */
    public boolean isEmpty() {
        return queue.isEmpty();
    }

    /**
     * Takes statements for one message.
     *
     * @param max greatest number of statements
     * @param sendLimit how often each statement is sent in all
     * @return the least sent statements, each counted as sent once more
     */
    public List<Member> take(int max, int sendLimit) {
        List<QueuedUpdate> chosen = queue.values().stream()
                .sorted(Comparator.comparingInt(QueuedUpdate::sendCount))
                .limit(max)
                .toList();
        List<Member> updates = new ArrayList<>(chosen.size());
        for (QueuedUpdate queued : chosen) {
            updates.add(queued.update);
            queued.sendCount++;
            if (queued.sendCount >= sendLimit) {
                queue.remove(queued.update.id());
            }
        }
        return updates;
    }
}

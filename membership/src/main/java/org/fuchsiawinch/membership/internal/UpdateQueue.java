package org.fuchsiawinch.membership.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.model.NodeId;

/**
 * Bounded queue of updates to disseminate, each a bounded number of times, the least often sent first. When the queue
 * is full, the most often sent update is dropped; view synchronisation still delivers it. Not thread-safe.
 */
public final class UpdateQueue {

    private static final int CAPACITY = 64;

    private final Map<NodeId, QueuedUpdate> queue = new LinkedHashMap<>();

    /** Update and the number of times it was sent. */
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
        // Fields are initialised inline.
    }

    /** Adds an update, replacing any queued update on the same node. */
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

    /** Returns whether no updates are queued. */
    public boolean isEmpty() {
        return queue.isEmpty();
    }

    /**
     * Returns the updates for one message, counts them as sent and removes those that reached the limit.
     *
     * @param max maximum number of updates
     * @param sendLimit total number of times that an update is sent
     * @return the least often sent updates
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

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

    private final Map<NodeId, Entry> entries = new LinkedHashMap<>();

    /** A statement and how often it was sent. */
    private static final class Entry {

        private final Member update;
        private int sent;

        Entry(Member update) {
            this.update = update;
        }

        int sent() {
            return sent;
        }
    }

    /** Creates an empty queue. */
    public UpdateQueue() {
        // Nothing to prepare.
    }

    /** Adds a statement; it replaces the one on the same node. */
    public void add(Member update) {
        entries.remove(update.id());
        if (entries.size() >= CAPACITY) {
            Entry most = entries.values().stream()
                    .max(Comparator.comparingInt(Entry::sent))
                    .orElseThrow();
            entries.remove(most.update.id());
        }
        entries.put(update.id(), new Entry(update));
    }

    /** Returns whether there is nothing to spread. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Takes statements for one message.
     *
     * @param max greatest number of statements
     * @param sendLimit how often each statement is sent in all
     * @return the least sent statements, each counted as sent once more
     */
    public List<Member> take(int max, int sendLimit) {
        List<Entry> chosen = entries.values().stream()
                .sorted(Comparator.comparingInt(Entry::sent))
                .limit(max)
                .toList();
        List<Member> updates = new ArrayList<>(chosen.size());
        for (Entry entry : chosen) {
            updates.add(entry.update);
            entry.sent++;
            if (entry.sent >= sendLimit) {
                entries.remove(entry.update.id());
            }
        }
        return updates;
    }
}

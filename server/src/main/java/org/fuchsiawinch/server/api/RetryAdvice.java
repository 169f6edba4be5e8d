package org.fuchsiawinch.server.api;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawinch.workflow.cell.RecentMaximum;

/**
 * Decides when a caller that a node refuses should come back. Answers the load of a system of which up to half of the
 * nodes cannot reach the store: the next try goes to another node, which most likely can, so a caller that has not been
 * refused before comes back at once. One that has been is told to wait, since the store may be away for all nodes; its
 * few tries have to last until the end of its time. Callers state the time that they have left, so that a first try is
 * one that has as much left as any other of its queue. Not thread-safe.
 */
final class RetryAdvice {

    /** Wait in s of a caller that other nodes may have refused. */
    static final int WAIT_S = 1;

    /** Share of the time of a queue's callers that is left at least at a first try; the next one is 50 ms later. */
    private static final double FIRST_TRY_SHARE = 0.99;

    /** Time in ms for which the time of a queue's callers is remembered. */
    private static final long MEMORY_MS = 60_000;

    /** Number of queues at which all are forgotten; nodes see requests for a few queues. */
    private static final int MAX_QUEUES = 256;

    private final Map<String, RecentMaximum> longestLeftMs = new HashMap<>();

    /**
     * Records the arrival of a request.
     *
     * @param queue name of its queue
     * @param leftMs time in ms that its caller has left
     * @param nowMs present time in ms
     */
    void arrived(String queue, long leftMs, long nowMs) {
        if (longestLeftMs.size() >= MAX_QUEUES && !longestLeftMs.containsKey(queue)) {
            longestLeftMs.clear();
        }
        longestLeftMs
                .computeIfAbsent(queue, added -> new RecentMaximum(MEMORY_MS, nowMs))
                .add(leftMs, nowMs);
    }

    /**
     * Returns the time after which a refused caller should come back.
     *
     * @param queue name of the queue
     * @param leftMs time in ms that the caller had left when its request arrived
     * @param nowMs present time in ms
     * @return the time in s; 0 for at once
     */
    int retryAfterS(String queue, long leftMs, long nowMs) {
        RecentMaximum longest = longestLeftMs.get(queue);
        boolean first = longest != null && leftMs >= FIRST_TRY_SHARE * longest.value(nowMs);
        return first ? 0 : WAIT_S;
    }
}

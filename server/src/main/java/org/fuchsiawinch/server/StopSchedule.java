package org.fuchsiawinch.server;

/**
 * Decides for how long a stopping node goes on serving callers.
 *
 * @param startMs time of the stop signal in ms
 * @param graceMs time in ms from the stop signal until the platform kills the process
 */
public record StopSchedule(long startMs, long graceMs) {

    /** Time in ms until the load balancer drops a node that is not ready: two failed checks 1 s apart and a margin. */
    private static final long BALANCER_DROP_MS = 2600;

    /** Part in ms of the grace period that is reserved for closing the connections and the exit of the process. */
    private static final long EXIT_RESERVE_MS = 1500;

    /**
     * Returns whether the node may close its connections. It serves callers on open connections until these have been
     * told to leave with an answer, or until the grace period nears its end.
     *
     * @param nowMs present time in ms
     * @param openConnections number of open connections of callers
     * @return true if it may close them and accept no new ones
     */
    public boolean mayClose(long nowMs, int openConnections) {
        long elapsedMs = nowMs - startMs;
        if (elapsedMs >= graceMs - EXIT_RESERVE_MS) {
            return true;
        }
        return elapsedMs >= BALANCER_DROP_MS && openConnections == 0;
    }
}

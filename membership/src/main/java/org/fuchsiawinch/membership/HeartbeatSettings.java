package org.fuchsiawinch.membership;

/**
 * Settings of {@link AllToAllHeartbeat}.
 *
 * @param intervalMs time between heartbeats to each peer, in ms
 * @param suspectAfterMs silence after which a member is suspect, in ms
 * @param deadAfterMs silence after which a member is dead, in ms
 * @param maxUpdates greatest number of other members named in a heartbeat
 */
public record HeartbeatSettings(long intervalMs, long suspectAfterMs, long deadAfterMs, int maxUpdates) {

    /** Heartbeat each second, dead after five. */
    public static final HeartbeatSettings DEFAULTS = new HeartbeatSettings(1_000, 2_500, 5_000, 2);

    /**
     * Checks the bounds.
     *
     * @throws IllegalMembershipException if a time is not positive or the times do not rise
     */
    public HeartbeatSettings {
        if (intervalMs < 1) {
            throw new IllegalMembershipException("intervalMs", "not positive: " + intervalMs);
        }
        if (suspectAfterMs <= intervalMs) {
            throw new IllegalMembershipException("suspectAfterMs", "not above intervalMs: " + suspectAfterMs);
        }
        if (deadAfterMs <= suspectAfterMs) {
            throw new IllegalMembershipException("deadAfterMs", "not above suspectAfterMs: " + deadAfterMs);
        }
        if (maxUpdates < 0) {
            throw new IllegalMembershipException("maxUpdates", "negative: " + maxUpdates);
        }
    }
}

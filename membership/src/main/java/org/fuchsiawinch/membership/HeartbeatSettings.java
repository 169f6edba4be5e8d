package org.fuchsiawinch.membership;

/**
 * Settings of {@link AllToAllHeartbeat}.
 *
 * @param intervalMs time between heartbeats to each peer, in ms
 * @param suspectAfterMs time without a heartbeat after which a member is suspect, in ms
 * @param deadAfterMs time without a heartbeat after which a member is dead, in ms
 * @param maxUpdates maximum number of other members listed in a heartbeat
 */
public record HeartbeatSettings(long intervalMs, long suspectAfterMs, long deadAfterMs, int maxUpdates) {

    /** Defaults: one heartbeat a second, suspect after 2.5 s and dead after 5 s without one. */
    public static final HeartbeatSettings DEFAULTS = new HeartbeatSettings(1_000, 2_500, 5_000, 2);

    /**
     * Validates the components.
     *
     * @throws IllegalMembershipException if a time is not positive, the times are not increasing or {@code maxUpdates}
     *     is negative
     */
    public HeartbeatSettings {
        if (intervalMs < 1) {
            throw new IllegalMembershipException("intervalMs", "not positive: " + intervalMs);
        }
        if (suspectAfterMs <= intervalMs) {
            throw new IllegalMembershipException(
                    "suspectAfterMs", "not above intervalMs " + intervalMs + ": " + suspectAfterMs);
        }
        if (deadAfterMs <= suspectAfterMs) {
            throw new IllegalMembershipException(
                    "deadAfterMs", "not above suspectAfterMs " + suspectAfterMs + ": " + deadAfterMs);
        }
        if (maxUpdates < 0) {
            throw new IllegalMembershipException("maxUpdates", "negative: " + maxUpdates);
        }
    }
}

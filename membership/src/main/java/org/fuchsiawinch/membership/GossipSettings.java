package org.fuchsiawinch.membership;

/**
 * Settings of {@link GossipMembership}. Immutable; created by {@link #builder()}.
 */
public final class GossipSettings {

    /** Default settings. */
    public static final GossipSettings DEFAULTS = builder().build();

    private final long probePeriodMs;
    private final long ackTimeoutMs;
    private final int indirectProbes;
    private final long suspicionMs;
    private final int retransmitFactor;
    private final int maxUpdates;
    private final long gossipIntervalMs;
    private final int gossipFanout;
    private final int leaveFanout;
    private final long syncIntervalMs;
    private final long joinIntervalMs;
    private final int syncPageMembers;
    private final long deadRetentionMs;
    private final long pauseThresholdMs;

    private GossipSettings(Builder builder) {
        probePeriodMs = builder.probePeriodMs;
        ackTimeoutMs = builder.ackTimeoutMs;
        indirectProbes = builder.indirectProbes;
        suspicionMs = builder.suspicionMs;
        retransmitFactor = builder.retransmitFactor;
        maxUpdates = builder.maxUpdates;
        gossipIntervalMs = builder.gossipIntervalMs;
        gossipFanout = builder.gossipFanout;
        leaveFanout = builder.leaveFanout;
        syncIntervalMs = builder.syncIntervalMs;
        joinIntervalMs = builder.joinIntervalMs;
        syncPageMembers = builder.syncPageMembers;
        deadRetentionMs = builder.deadRetentionMs;
        pauseThresholdMs = builder.pauseThresholdMs;
    }

    /** Returns a builder initialised with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the time between two probes, in ms. */
    public long probePeriodMs() {
        return probePeriodMs;
    }

    /** Returns the time after which an unanswered probe is retried, directly and through other members, in ms. */
    public long ackTimeoutMs() {
        return ackTimeoutMs;
    }

    /** Returns the number of members asked for an indirect probe at each retry. */
    public int indirectProbes() {
        return indirectProbes;
    }

    /**
     * Returns the suspicion timeout in a group of up to ten nodes, in ms. It grows with the decimal logarithm of the
     * group's size.
     */
    public long suspicionMs() {
        return suspicionMs;
    }

    /** Returns how often each update is sent, as a multiple of the binary logarithm of the group's size. */
    public int retransmitFactor() {
        return retransmitFactor;
    }

    /** Returns the maximum number of updates in a message. */
    public int maxUpdates() {
        return maxUpdates;
    }

    /** Returns the time between two gossip rounds while updates are queued, in ms. */
    public long gossipIntervalMs() {
        return gossipIntervalMs;
    }

    /** Returns the number of members gossiped to in a round; with 0, updates are disseminated by probes only. */
    public int gossipFanout() {
        return gossipFanout;
    }

    /** Returns the number of members notified immediately when this node leaves. */
    public int leaveFanout() {
        return leaveFanout;
    }

    /** Returns the maximum time between two synchronisations of the view with a seed or member, in ms. */
    public long syncIntervalMs() {
        return syncIntervalMs;
    }

    /** Returns the time between requests to seeds while no member is known, and the first sync interval, in ms. */
    public long joinIntervalMs() {
        return joinIntervalMs;
    }

    /** Returns the maximum number of members in a page of a synchronisation. */
    public int syncPageMembers() {
        return syncPageMembers;
    }

    /** Returns the time for which a dead member is retained, in ms. */
    public long deadRetentionMs() {
        return deadRetentionMs;
    }

    /** Returns the gap between two ticks above which this node assumes that it was paused, in ms. */
    public long pauseThresholdMs() {
        return pauseThresholdMs;
    }

    /** Builder of {@link GossipSettings}. Not thread-safe. */
    public static final class Builder {

        private long probePeriodMs = 1_000;
        private long ackTimeoutMs = 300;
        private int indirectProbes = 3;
        private long suspicionMs = 3_000;
        private int retransmitFactor = 3;
        private int maxUpdates = 6;
        private long gossipIntervalMs = 500;
        private int gossipFanout = 2;
        private int leaveFanout = 8;
        private long syncIntervalMs = 10_000;
        private long joinIntervalMs = 1_000;
        private int syncPageMembers = 20;
        private long deadRetentionMs = 600_000;
        private long pauseThresholdMs = 600;

        private Builder() {}

        /** Sets the probe period and the shorter time after which an unanswered probe is retried, both in ms. */
        public Builder probe(long periodMs, long timeoutMs) {
            probePeriodMs = periodMs;
            ackTimeoutMs = timeoutMs;
            return this;
        }

        /** Sets the number of members asked for an indirect probe at each retry. */
        public Builder indirectProbes(int count) {
            indirectProbes = count;
            return this;
        }

        /** Sets the suspicion timeout in a group of up to ten nodes, in ms. */
        public Builder suspicionMs(long timeMs) {
            suspicionMs = timeMs;
            return this;
        }

        /** Sets the time between two gossip rounds, in ms, and the number of members per round. */
        public Builder gossip(long intervalMs, int fanout) {
            gossipIntervalMs = intervalMs;
            gossipFanout = fanout;
            return this;
        }

        /** Sets the maximum time between two synchronisations of the view, in ms. */
        public Builder syncIntervalMs(long intervalMs) {
            syncIntervalMs = intervalMs;
            return this;
        }

        /**
         * Creates the settings.
         *
         * @throws IllegalMembershipException if the probe period is not longer than the retry time, a count is negative
         *     or another time is not positive
         */
        public GossipSettings build() {
            requireAtLeast("ackTimeoutMs", ackTimeoutMs, 1);
            requireAtLeast("probePeriodMs", probePeriodMs, ackTimeoutMs + 1);
            requireAtLeast("indirectProbes", indirectProbes, 0);
            requireAtLeast("suspicionMs", suspicionMs, 1);
            requireAtLeast("gossipIntervalMs", gossipIntervalMs, 1);
            requireAtLeast("gossipFanout", gossipFanout, 0);
            requireAtLeast("syncIntervalMs", syncIntervalMs, 1);
            return new GossipSettings(this);
        }

        private static void requireAtLeast(String field, long value, long least) {
            if (value < least) {
                throw new IllegalMembershipException(field, "below " + least + ": " + value);
            }
        }
    }
}

package org.fuchsiawinch.membership;

/**
 * Settings of {@link GossipMembership}; immutable, built by {@link #builder()}.
 */
public final class GossipSettings {

    /** The defaults. */
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

    /** Returns a builder that holds the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the time between probes, in ms. */
    public long probePeriodMs() {
        return probePeriodMs;
    }

    /** Returns the time after which a probe is retried, directly and through helpers, in ms. */
    public long ackTimeoutMs() {
        return ackTimeoutMs;
    }

    /** Returns the number of helpers asked at each retry. */
    public int indirectProbes() {
        return indirectProbes;
    }

    /** Returns the time a suspect has to refute in a group of up to ten, in ms; grows with the group's logarithm. */
    public long suspicionMs() {
        return suspicionMs;
    }

    /** Returns how often each statement is sent, as a factor on the binary logarithm of the group's size. */
    public int retransmitFactor() {
        return retransmitFactor;
    }

    /** Returns the greatest number of statements in a message. */
    public int maxUpdates() {
        return maxUpdates;
    }

    /** Returns the time between gossip rounds while there are statements to spread, in ms. */
    public long gossipIntervalMs() {
        return gossipIntervalMs;
    }

    /** Returns the number of members per gossip round; 0 leaves statements to the probes alone. */
    public int gossipFanout() {
        return gossipFanout;
    }

    /** Returns the number of members told at once when this node leaves. */
    public int leaveFanout() {
        return leaveFanout;
    }

    /** Returns the time between comparisons of views with a seed or a member, in ms. */
    public long syncIntervalMs() {
        return syncIntervalMs;
    }

    /** Returns the time between contacts with seeds while no member is known, in ms. */
    public long joinIntervalMs() {
        return joinIntervalMs;
    }

    /** Returns the greatest number of members in a page. */
    public int syncPageMembers() {
        return syncPageMembers;
    }

    /** Returns the time a dead member is remembered, in ms. */
    public long deadRetentionMs() {
        return deadRetentionMs;
    }

    /** Returns the gap between two ticks after which this node knows that it was paused, in ms. */
    public long pauseThresholdMs() {
        return pauseThresholdMs;
    }

    /** Builds {@link GossipSettings}; not thread-safe. */
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

        /** Sets the probe period and the time before a retry, both in ms. */
        public Builder probe(long periodMs, long timeoutMs) {
            probePeriodMs = periodMs;
            ackTimeoutMs = timeoutMs;
            return this;
        }

        /** Sets the number of helpers. */
        public Builder indirectProbes(int count) {
            indirectProbes = count;
            return this;
        }

        /** Sets the suspicion time, in ms. */
        public Builder suspicionMs(long timeMs) {
            suspicionMs = timeMs;
            return this;
        }

        /** Sets the time between gossip rounds in ms and the members per round. */
        public Builder gossip(long intervalMs, int fanout) {
            gossipIntervalMs = intervalMs;
            gossipFanout = fanout;
            return this;
        }

        /** Sets the time between comparisons of views, in ms. */
        public Builder syncIntervalMs(long intervalMs) {
            syncIntervalMs = intervalMs;
            return this;
        }

        /**
         * Returns the settings.
         *
         * @throws IllegalMembershipException if a value is outside its bounds
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

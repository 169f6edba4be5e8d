package org.fuchsiawinch.replay.generate;

/** Scenarios that the sample traces add to a user's base load. */
public enum Scenario {
    /** A burst of gangs and short jobs before a festival. */
    FESTIVAL_BURST("festival-burst"),
    /** A flood of small jobs while gangs of the largest size wait; the base load is 60 % of the usual. */
    FLOOD_OVER_GANG("flood-over-gang"),
    /** Declared run times and memory that differ widely from the true ones, and usage reports 20 s late. */
    WRONG_ESTIMATES("wrong-estimates"),
    /** A burst of jobs and a wave of cancellations of waiting and running ones. */
    CANCEL_WAVE("cancel-wave"),
    /**
     * Workers that repeatedly fail or become unreachable and return, two workers that fail every task for a time, and a
     * log outage.
     */
    FLAPPING_WORKERS("flapping-workers"),
    /** The loss of a whole rack during a burst of gangs, its return, and other workers that leave and return. */
    RACK_LOST("rack-lost");

    private final String label;

    Scenario(String label) {
        this.label = label;
    }

    /**
     * Returns the short name.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }
}

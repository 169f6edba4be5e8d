package org.fuchsiawinch.replay.generate;

/** What a sample trace contains in addition to the base load. */
public enum Scenario {
    /** A burst of gangs and short jobs before a festival. */
    FESTIVAL_BURST("festival-burst"),
    /** A flood of small jobs while gangs of the largest size wait. */
    FLOOD_OVER_GANG("flood-over-gang"),
    /** Declared run times and memory that differ widely from the true ones. */
    WRONG_ESTIMATES("wrong-estimates"),
    /** A wave of cancellations of waiting and running jobs. */
    CANCEL_WAVE("cancel-wave"),
    /** Workers that fail and return repeatedly, two workers that fail every task for a time, and a log outage. */
    FLAPPING_WORKERS("flapping-workers"),
    /** The loss of a whole rack, its return, and other workers that leave afterwards. */
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

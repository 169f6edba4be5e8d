package org.fuchsiawinch.replay.generate;

/** What happens in a sample trace on top of the ordinary load. */
public enum Scenario {
    /** Many gangs and quick jobs before a festival. */
    FESTIVAL_BURST("festival-burst"),
    /** A flood of small jobs while the largest gangs wait. */
    FLOOD_OVER_GANG("flood-over-gang"),
    /** Declared run times and memory are far off. */
    WRONG_ESTIMATES("wrong-estimates"),
    /** A wave of cancels hits waiting and running jobs. */
    CANCEL_WAVE("cancel-wave"),
    /** Workers come and go, two fail everything, and the log is out for a while. */
    FLAPPING_WORKERS("flapping-workers"),
    /** A whole rack is lost and comes back at once, while other workers leave. */
    RACK_LOST("rack-lost");

    private final String label;

    Scenario(String label) {
        this.label = label;
    }

    /**
     * Gives the short name.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }
}

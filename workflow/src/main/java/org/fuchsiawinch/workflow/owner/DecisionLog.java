package org.fuchsiawinch.workflow.owner;

/** Receiver of one event per decision of the owner. Implementations must not block. */
@FunctionalInterface
public interface DecisionLog {

    /** Discards all events. */
    DecisionLog NONE = (event, pairs) -> {};

    /**
     * Logs a decision.
     *
     * @param event name of the event
     * @param pairs alternating keys and values
     */
    void line(String event, Object... pairs);

    /**
     * Counts a decision, also where its line is suppressed. Does nothing by default.
     *
     * @param counter name of the counter
     */
    default void count(String counter) {}
}

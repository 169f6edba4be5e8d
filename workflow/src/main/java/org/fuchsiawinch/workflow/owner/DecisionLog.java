package org.fuchsiawinch.workflow.owner;

/** Receives one event per decision. Implementations must not block. */
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
}

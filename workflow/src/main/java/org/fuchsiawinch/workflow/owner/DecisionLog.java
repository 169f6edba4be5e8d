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
}

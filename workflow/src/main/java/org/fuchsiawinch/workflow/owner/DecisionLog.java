package org.fuchsiawinch.workflow.owner;

/** Takes one line for each decision. Must not block. */
@FunctionalInterface
public interface DecisionLog {

    /** Takes nothing. */
    DecisionLog NONE = (event, pairs) -> {};

    /**
     * Takes a decision.
     *
     * @param event name of the event
     * @param pairs keys and values in turn
     */
    void line(String event, Object... pairs);
}

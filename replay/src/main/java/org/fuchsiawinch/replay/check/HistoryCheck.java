package org.fuchsiawinch.replay.check;

import java.util.function.Consumer;

import org.fuchsiawinch.replay.history.HistoryEvent;

/** Checks one promise over the events of one history, in order of time. */
interface HistoryCheck {

    /** Processes the next event. */
    void onEvent(HistoryEvent event, Consumer<Violation> report);

    /** Checks what is still open after the last event. */
    default void finish(long endMs, Consumer<Violation> report) {}
}

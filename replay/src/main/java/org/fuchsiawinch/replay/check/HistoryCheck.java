package org.fuchsiawinch.replay.check;

import java.util.function.Consumer;

import org.fuchsiawinch.replay.history.HistoryEvent;

/** Check of one promise over the events of one history. Use one instance per history; not thread-safe. */
interface HistoryCheck {

    /** Processes the next event in order of time and reports the violations that it shows. */
    void onEvent(HistoryEvent event, Consumer<Violation> report);

    /** Checks what is still open at the time of the last event, {@code endMs}. */
    default void finish(long endMs, Consumer<Violation> report) {}
}

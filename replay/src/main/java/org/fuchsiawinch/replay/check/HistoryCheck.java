package org.fuchsiawinch.replay.check;

import java.util.function.Consumer;

import org.fuchsiawinch.replay.history.HistoryEvent;

/** Judges one promise over the facts of one history, in order. */
interface HistoryCheck {

    /** Takes the next fact. */
    void onEvent(HistoryEvent event, Consumer<Violation> report);

    /** Judges what is open after the last fact. */
    default void finish(long endMs, Consumer<Violation> report) {}
}

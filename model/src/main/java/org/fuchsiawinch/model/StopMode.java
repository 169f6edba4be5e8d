package org.fuchsiawinch.model;

/** How a running attempt is ended. */
public enum StopMode {
    /** Saves the progress, then stops. */
    CHECKPOINT,
    /** Stops; progress is lost. */
    STOP
}

package org.fuchsiawinch.model;

/** How a running attempt is stopped. */
public enum StopMode {
    /** Saves the progress, then stops. */
    CHECKPOINT,
    /** Stops without a checkpoint; the progress is lost. */
    STOP
}

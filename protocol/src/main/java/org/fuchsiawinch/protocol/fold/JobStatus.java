package org.fuchsiawinch.protocol.fold;

/** Status of a job as derived from the log. */
public enum JobStatus {
    /** No attempt is under way. */
    WAITING,
    /** An attempt is placed but not released. */
    PLACED,
    /** An attempt is released and may be running. */
    RELEASED,
    /** The outcome is final. */
    FINISHED
}

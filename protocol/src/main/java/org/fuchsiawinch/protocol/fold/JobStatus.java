package org.fuchsiawinch.protocol.fold;

/** Where a job stands by the log. */
public enum JobStatus {
    /** No attempt is under way. */
    WAITING,
    /** An attempt is placed and has not been released. */
    PLACED,
    /** An attempt was released and may have begun. */
    RELEASED,
    /** The outcome is final. */
    FINISHED
}

package org.fuchsiawinch.report.records;

import java.util.Arrays;
import java.util.Optional;

/** Outcome of a job. */
public enum JobOutcome {
    /** The job ran and its program succeeded. */
    COMPLETED("completed"),
    /** The job ran and its program failed. */
    FAILED("failed"),
    /** The job was accepted, and its caller was answered that it did not run. */
    NOT_RUN("not-run"),
    /** Whether the job ran could not be determined in time. */
    UNKNOWN("unknown"),
    /** The caller cancelled the job. */
    CANCELLED("cancelled"),
    /** The job was refused at admission. */
    REFUSED("refused");

    private final String key;

    JobOutcome(String key) {
        this.key = key;
    }

    /** Returns the key of the outcome in a record. */
    public String key() {
        return key;
    }

    /** Returns the outcome with the given key, or empty if there is none. */
    public static Optional<JobOutcome> byKey(String key) {
        return Arrays.stream(values())
                .filter(outcome -> outcome.key.equals(key))
                .findFirst();
    }

    /** Returns whether the caller was due an answer: the job was accepted and not cancelled. */
    public boolean answerExpected() {
        return this != CANCELLED && this != REFUSED;
    }

    /** Returns whether the job's program ran to its end. */
    public boolean ran() {
        return this == COMPLETED || this == FAILED;
    }
}

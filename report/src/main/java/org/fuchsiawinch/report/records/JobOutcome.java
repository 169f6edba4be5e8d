package org.fuchsiawinch.report.records;

import java.util.Arrays;
import java.util.Optional;

/** How a job ended. */
public enum JobOutcome {
    /** It ran and its program succeeded. */
    COMPLETED("completed"),
    /** It ran and its program failed. */
    FAILED("failed"),
    /** Accepted, but told that it did not run. */
    NOT_RUN("not-run"),
    /** Whether it ran could not be settled in time. */
    UNKNOWN("unknown"),
    /** Its caller cancelled it. */
    CANCELLED("cancelled"),
    /** Refused at admission. */
    REFUSED("refused");

    private final String key;

    JobOutcome(String key) {
        this.key = key;
    }

    /** Returns the text in a record. */
    public String key() {
        return key;
    }

    /** Finds an outcome by its text in a record. */
    public static Optional<JobOutcome> byKey(String key) {
        return Arrays.stream(values())
                .filter(outcome -> outcome.key.equals(key))
                .findFirst();
    }

    /** Returns whether the service owed the job an answer: it was accepted and not cancelled. */
    public boolean answerExpected() {
        return this != CANCELLED && this != REFUSED;
    }

    /** Returns whether its program ran to its end. */
    public boolean ran() {
        return this == COMPLETED || this == FAILED;
    }
}

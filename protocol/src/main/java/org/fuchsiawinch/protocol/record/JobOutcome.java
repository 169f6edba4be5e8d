package org.fuchsiawinch.protocol.record;

import java.util.OptionalLong;

/** Final outcome of a job. */
public sealed interface JobOutcome {

    /**
     * The job ran to completion.
     *
     * @param answer the parts' answers, concatenated in order of part number
     * @param sha256 SHA-256 digest of the answer in lower-case hex
     */
    record Completed(byte[] answer, String sha256) implements JobOutcome {}

    /**
     * No attempt of the job ran, and none will.
     *
     * @param code name of the reason code
     * @param retryAfterMs time in ms after which the caller may submit the job again; empty if a retry does not help
     */
    record NotRun(String code, OptionalLong retryAfterMs) implements JobOutcome {}

    /**
     * An attempt may have run, and the job will not complete.
     *
     * @param code name of the reason code
     */
    record Broken(String code) implements JobOutcome {}
}

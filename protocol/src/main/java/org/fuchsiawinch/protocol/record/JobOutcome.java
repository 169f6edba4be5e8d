package org.fuchsiawinch.protocol.record;

import java.util.OptionalLong;

/** How a job ended, for good. */
public sealed interface JobOutcome {

    /**
     * The job ran to completion.
     *
     * @param answer the whole answer: the parts' answers in order of part
     * @param sha256 digest of the answer, lower-case hex
     */
    record Completed(byte[] answer, String sha256) implements JobOutcome {}

    /**
     * No attempt of the job ever ran and none ever will.
     *
     * @param code name of the reason code
     * @param retryAfterMs time in ms after which a new request may be made
     */
    record NotRun(String code, OptionalLong retryAfterMs) implements JobOutcome {}

    /**
     * An attempt may have begun, and the job will not complete.
     *
     * @param code name of the reason code
     */
    record Broken(String code) implements JobOutcome {}
}

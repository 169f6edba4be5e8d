package org.fuchsiawinch.quickstart;

import java.util.Optional;

/**
 * State of a job as a node reports it.
 *
 * @param job id of the job
 * @param status status of the job
 * @param attempt number of attempts so far
 * @param outcome outcome; empty until the job is finished
 * @param answer the whole answer; empty unless the job completed
 * @param sha256 SHA-256 digest of the answer; empty unless the job completed
 * @param reason code of the reason; empty unless the outcome is {@code not-run} or {@code broken}
 * @param submittedMs time in ms since the Unix epoch at which the job was accepted
 * @param startedMs time in ms since the Unix epoch at which the last attempt was placed; 0 if none is placed
 * @param finishedMs time in ms since the Unix epoch at which the job got its outcome; 0 until then
 */
record JobResult(
        String job,
        String status,
        int attempt,
        Optional<String> outcome,
        Optional<String> answer,
        Optional<String> sha256,
        Optional<String> reason,
        long submittedMs,
        long startedMs,
        long finishedMs) {}

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
 * @param sha256 SHA-256 digest of the answer
 * @param reason code of the outcome's reason
 * @param submittedMs time in ms since the epoch at which the job was accepted
 * @param startedMs time in ms since the epoch at which the last attempt was placed
 * @param finishedMs time in ms since the epoch at which the job got its outcome
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

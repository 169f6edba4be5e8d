package org.fuchsiawinch.quickstart;

import java.util.Optional;

/**
 * What a node says of a job.
 *
 * @param job id of the job
 * @param status where it stands
 * @param attempt number of attempts
 * @param outcome how it ended
 * @param answer the whole answer
 * @param sha256 digest of the answer
 * @param reason code of the outcome's reason
 * @param submittedMs time in ms since the epoch of acceptance
 * @param startedMs time in ms since the epoch of the last attempt's placement
 * @param finishedMs time in ms since the epoch of the outcome
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

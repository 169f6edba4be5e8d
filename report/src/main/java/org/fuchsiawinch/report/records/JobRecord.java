package org.fuchsiawinch.report.records;

import java.util.OptionalLong;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * One finished or refused job. Times are in ms since the Unix epoch.
 *
 * @param job id of the job
 * @param workspace its workspace
 * @param kind kind of job, as named by its caller
 * @param guaranteed whether a guarantee covered it
 * @param submittedMs time of submission
 * @param startedMs start of its first attempt; empty if none started
 * @param endedMs time at which the answer was available to the caller; not before submission or start
 * @param outcome outcome of the job
 * @param wholeAnswer whether the caller received the whole answer, or the definite answer that the job did not run
 * @param spendMicros cost of the job, in millionths of the currency unit
 */
public record JobRecord(
        String job,
        WorkspaceId workspace,
        String kind,
        boolean guaranteed,
        long submittedMs,
        OptionalLong startedMs,
        long endedMs,
        JobOutcome outcome,
        boolean wholeAnswer,
        long spendMicros) {}

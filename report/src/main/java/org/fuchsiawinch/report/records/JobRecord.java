package org.fuchsiawinch.report.records;

import java.util.OptionalLong;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * One finished or refused job. Times are in ms since the epoch.
 *
 * @param job id of the job
 * @param workspace its workspace
 * @param kind kind of job as its caller named it
 * @param guaranteed whether a guarantee covered it
 * @param submittedMs when it was submitted
 * @param startedMs when its first attempt started; empty if none did
 * @param endedMs when its caller could have the answer; not before the submit or the start
 * @param outcome how it ended
 * @param wholeAnswer whether the caller got the whole answer
 * @param spendMicros what it cost, in millionths of the currency unit
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

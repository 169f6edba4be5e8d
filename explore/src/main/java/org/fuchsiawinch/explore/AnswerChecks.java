package org.fuchsiawinch.explore;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.explore.Violation.Promise;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.record.JobOutcome;

/** Checks the answers that callers received against the promises on outcomes and answers. Used once. */
final class AnswerChecks {

    private final History history;
    private final PartRuns runs;
    private final List<Violation> violations;
    private final Map<JobId, JobPlan> plans = new HashMap<>();
    private final Map<JobId, String> outcomeByJob = new HashMap<>();
    /** Callers that received an outcome or a final refusal (true) or were reported as open (false). */
    private final Map<Integer, Boolean> settledByCaller = new HashMap<>();
    /** Whether each request for a job was answered with a refusal. */
    private final Map<JobId, Boolean> alwaysRefused = new HashMap<>();

    private AnswerChecks(History history, PartRuns runs, List<Violation> violations) {
        this.history = history;
        this.runs = runs;
        this.violations = violations;
        history.schedule().jobs().forEach(plan -> plans.put(plan.spec().id(), plan));
    }

    static void check(History history, PartRuns runs, List<Violation> violations) {
        new AnswerChecks(history, runs, violations).checkAll();
    }

    private void checkAll() {
        for (Observation.Answered answered : history.of(Observation.Answered.class)) {
            checkAnswer(answered);
        }
        for (Observation.Unanswered unanswered : history.of(Observation.Unanswered.class)) {
            alwaysRefused.put(unanswered.job(), Boolean.FALSE);
        }
        for (Observation.Submitted submitted : history.of(Observation.Submitted.class)) {
            if (!settledByCaller.containsKey(submitted.caller())) {
                settledByCaller.put(submitted.caller(), Boolean.FALSE);
                add(
                        Promise.JOB_SETTLES,
                        history.endMs(),
                        submitted.job() + " is open for caller " + submitted.caller());
            }
        }
        alwaysRefused.forEach((job, refused) -> {
            if (refused && runs.ran(job)) {
                add(Promise.NOT_RUN_MEANS_NOT_RUN, history.endMs(), job + " was always refused and ran");
            }
        });
    }

    private void checkAnswer(Observation.Answered answered) {
        if (answered.reply() instanceof NodeReply.Refused refused) {
            alwaysRefused.putIfAbsent(answered.job(), Boolean.TRUE);
            boolean willRetry = refused.code() != NodeReply.RefusalCode.KEY_REUSED
                    && refused.code() != NodeReply.RefusalCode.DEADLINE;
            if (!willRetry) {
                settledByCaller.put(answered.caller(), Boolean.TRUE);
            }
            return;
        }
        alwaysRefused.put(answered.job(), Boolean.FALSE);
        if (!(answered.reply() instanceof NodeReply.Job job)) {
            return;
        }
        if (!job.job().spec().id().equals(answered.job())) {
            add(Promise.WHOLE_ANSWER, answered.atMs(), answered.job() + " got the answer of another job");
            return;
        }
        if (job.job().status() == JobStatus.FINISHED) {
            settledByCaller.put(answered.caller(), Boolean.TRUE);
            checkOutcome(answered, job.job().outcome());
        }
    }

    private void checkOutcome(Observation.Answered answered, Optional<JobOutcome> outcome) {
        if (outcome.isEmpty()) {
            add(Promise.WHOLE_ANSWER, answered.atMs(), answered.job() + " is finished without an outcome");
            return;
        }
        String current = describe(outcome.get());
        String previous = outcomeByJob.putIfAbsent(answered.job(), current);
        if (previous != null && !previous.equals(current)) {
            add(Promise.OUTCOME_STABLE, answered.atMs(), answered.job() + " was " + previous + " and is " + current);
        }
        if (outcome.get() instanceof JobOutcome.NotRun && runs.ran(answered.job())) {
            add(Promise.NOT_RUN_MEANS_NOT_RUN, answered.atMs(), answered.job() + " is told not run and ran");
        }
        if (outcome.get() instanceof JobOutcome.Completed completed) {
            checkWholeAnswer(answered, completed);
        }
    }

    private void checkWholeAnswer(Observation.Answered answered, JobOutcome.Completed completed) {
        String expected = plans.get(answered.job()).wholeAnswer(answered.variant());
        String text = new String(completed.answer(), StandardCharsets.UTF_8);
        if (!text.equals(expected) || !completed.sha256().equals(sha256(completed.answer()))) {
            add(
                    Promise.WHOLE_ANSWER,
                    answered.atMs(),
                    answered.job() + " caller " + answered.caller() + " got " + text + " for " + expected);
        }
    }

    private static String describe(JobOutcome outcome) {
        if (outcome instanceof JobOutcome.Completed completed) {
            return "completed " + completed.sha256();
        }
        return outcome.toString();
    }

    private static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private void add(Promise promise, long atMs, String detail) {
        violations.add(new Violation(promise, atMs, detail));
    }
}

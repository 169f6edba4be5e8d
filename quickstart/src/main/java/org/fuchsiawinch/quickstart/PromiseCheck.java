package org.fuchsiawinch.quickstart;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.fuchsiawinch.wire.PlatformMessages;

/** Compares the results that callers received with the runs that workers counted. Stateless. */
final class PromiseCheck {

    /** Descriptions of the checked promises, for the printed summary. */
    static final List<String> CHECKED_PROMISES = List.of(
            "every request has an outcome",
            "answers are whole and the caller's own",
            "completed work ran as a whole gang",
            "not-run did not run",
            "non-idempotent work ran at most once");

    private PromiseCheck() {}

    /**
     * Returns the broken promises, each with the id of its job; empty if none is broken.
     *
     * @param jobs the submitted jobs
     * @param results results that callers received, by job id
     * @param runs runs that workers counted
     */
    static List<String> findBroken(
            List<SampleJob> jobs, Map<String, JobResult> results, PlatformMessages.RunList runs) {
        Map<String, List<PlatformMessages.Run>> byJob =
                runs.runs().stream().collect(Collectors.groupingBy(PlatformMessages.Run::job));
        List<String> broken = new ArrayList<>();
        for (SampleJob job : jobs) {
            JobResult result = results.get(job.id());
            List<PlatformMessages.Run> jobRuns = byJob.getOrDefault(job.id(), List.of());
            if (result == null) {
                broken.add("lost-request job=" + job.id());
                continue;
            }
            check(job, result, jobRuns, broken);
        }
        return broken;
    }

    private static void check(
            SampleJob job, JobResult result, List<PlatformMessages.Run> jobRuns, List<String> broken) {
        boolean completed = result.outcome().filter("completed"::equals).isPresent();
        if (completed && !result.answer().filter(job.expectedAnswer()::equals).isPresent()) {
            broken.add("answer-not-whole job=" + job.id());
        }
        if (completed && jobRuns.stream().noneMatch(run -> run.parts() == job.parts())) {
            broken.add("completed-without-whole-run job=" + job.id());
        }
        if (result.outcome().filter("not-run"::equals).isPresent() && !jobRuns.isEmpty()) {
            broken.add("told-not-run-but-ran job=" + job.id());
        }
        if (!job.idempotent() && jobRuns.size() > 1) {
            broken.add("non-idempotent-ran-twice job=" + job.id());
        }
    }
}

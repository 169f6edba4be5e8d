package org.fuchsiawinch.quickstart;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.wire.PlatformMessages;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against a promise check that misses a broken promise or reports one for a correct result. */
public class PromiseCheckTest {

    // In the sample workload, job 0 is a plan of several parts and job 3 a reorder, which is not idempotent.
    private final List<SampleJob> jobs = new SampleWorkload(7, 0).jobs(4);
    private final SampleJob gang = jobs.get(0);
    private final SampleJob nonIdempotent = jobs.get(3);

    @Test
    public void wholeAnswerOfOneRunBreaksNoPromise() {
        assertEquals(
                broken(gang, result(gang, "completed", gang.expectedAnswer()), run(gang, 1, gang.parts())), List.of());
    }

    @Test
    public void eachBrokenPromiseIsReported() {
        assertEquals(
                PromiseCheck.findBroken(List.of(gang), Map.of(), new PlatformMessages.RunList(List.of())),
                List.of("lost-request job=" + gang.id()));
        assertEquals(
                broken(gang, result(gang, "completed", "half"), run(gang, 1, gang.parts())),
                List.of("answer-not-whole job=" + gang.id()));
        assertEquals(
                broken(gang, result(gang, "completed", gang.expectedAnswer()), run(gang, 1, 1)),
                List.of("completed-without-whole-run job=" + gang.id()));
        assertEquals(
                broken(gang, result(gang, "not-run", ""), run(gang, 1, 1)),
                List.of("told-not-run-but-ran job=" + gang.id()));
        assertEquals(
                broken(
                        nonIdempotent,
                        result(nonIdempotent, "completed", nonIdempotent.expectedAnswer()),
                        run(nonIdempotent, 1, 1),
                        run(nonIdempotent, 2, 1)),
                List.of("non-idempotent-ran-twice job=" + nonIdempotent.id()));
    }

    private static List<String> broken(SampleJob job, JobResult result, PlatformMessages.Run... runs) {
        return PromiseCheck.findBroken(
                List.of(job), Map.of(job.id(), result), new PlatformMessages.RunList(List.of(runs)));
    }

    private static PlatformMessages.Run run(SampleJob job, int attempt, int parts) {
        return new PlatformMessages.Run(job.id(), attempt, parts);
    }

    private static JobResult result(SampleJob job, String outcome, String answer) {
        return new JobResult(
                job.id(),
                "finished",
                1,
                Optional.of(outcome),
                Optional.of(answer),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                0);
    }
}

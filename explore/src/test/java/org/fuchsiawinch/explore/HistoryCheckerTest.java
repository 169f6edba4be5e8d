package org.fuchsiawinch.explore;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.explore.Violation.Promise;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.fold.Sha256;
import org.fuchsiawinch.protocol.node.NodeReply;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.worker.TaskState;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against a checker that misses violations: each hand-written history breaks one promise. */
public class HistoryCheckerTest {

    private static final Resources PART = new Resources(1000, 1024, 1, 1, 1);
    private static final WorkerId W0 = new WorkerId("w0");
    private static final WorkerId W1 = new WorkerId("w1");
    private static final NodeId N0 = new NodeId("n0");
    private static final NodeId N1 = new NodeId("n1");
    private static final JobPlan GANG = plan("gang", 2, true);
    private static final JobPlan NON_IDEMPOTENT = plan("once", 1, false);
    private static final long END_MS = 90_000;

    @Test
    public void validHistoryHasNoViolations() {
        assertEquals(
                brokenPromises(
                        taken(0, W0, NON_IDEMPOTENT, 1, 0),
                        ran(10, W0, NON_IDEMPOTENT, 1, 0),
                        ended(20, W0, NON_IDEMPOTENT, 1, 0, TaskState.COMPLETED),
                        submitted(0, NON_IDEMPOTENT, 1),
                        answered(30, NON_IDEMPOTENT, 1, completed(NON_IDEMPOTENT.wholeAnswer(0)))),
                List.of());
    }

    @Test
    public void gangStartedBeforeAllPartsTaken() {
        assertEquals(
                brokenPromises(taken(0, W0, GANG, 1, 0), ran(10, W0, GANG, 1, 0), taken(20, W1, GANG, 1, 1)),
                List.of(Promise.GANG_WHOLE));
    }

    @Test
    public void gangPartRunningAfterOthersStopped() {
        assertEquals(
                brokenPromises(
                        taken(0, W0, GANG, 1, 0),
                        taken(0, W1, GANG, 1, 1),
                        ran(10, W0, GANG, 1, 0),
                        ran(10, W1, GANG, 1, 1),
                        ended(20, W0, GANG, 1, 0, TaskState.STOPPED),
                        ended(21 + PromiseBounds.GANG_PARTIAL_MS, W1, GANG, 1, 1, TaskState.STOPPED)),
                List.of(Promise.GANG_WHOLE));
    }

    @Test
    public void nonIdempotentPartRunTwice() {
        assertEquals(
                brokenPromises(
                        taken(0, W0, NON_IDEMPOTENT, 1, 0),
                        ran(10, W0, NON_IDEMPOTENT, 1, 0),
                        ended(20, W0, NON_IDEMPOTENT, 1, 0, TaskState.STOPPED),
                        taken(30, W1, NON_IDEMPOTENT, 2, 0),
                        ran(40, W1, NON_IDEMPOTENT, 2, 0)),
                List.of(Promise.AT_MOST_ONCE));
    }

    @Test
    public void workerOvercommitted() {
        assertEquals(
                brokenPromises(taken(0, W0, GANG, 1, 0), taken(0, W0, GANG, 1, 1), taken(5, W0, NON_IDEMPOTENT, 1, 0)),
                List.of(Promise.NO_OVERCOMMIT));
    }

    @Test
    public void leavingWorkerReceivesPart() {
        assertEquals(
                brokenPromises(
                        new Observation.WorkerLeaving(0, W0),
                        taken(PromiseBounds.LEAVING_MS, W0, NON_IDEMPOTENT, 1, 0),
                        taken(PromiseBounds.LEAVING_MS + 1, W0, GANG, 1, 0)),
                List.of(Promise.LEAVING_GETS_NOTHING));
    }

    @Test
    public void jobReportedNotRunThatRan() {
        assertEquals(
                brokenPromises(
                        taken(0, W0, NON_IDEMPOTENT, 1, 0),
                        ran(10, W0, NON_IDEMPOTENT, 1, 0),
                        submitted(0, NON_IDEMPOTENT, 1),
                        answered(30, NON_IDEMPOTENT, 1, new JobOutcome.NotRun("END_CANCELLED", OptionalLong.empty()))),
                List.of(Promise.NOT_RUN_MEANS_NOT_RUN));
    }

    @Test
    public void refusedJobThatRan() {
        NodeReply refused = new NodeReply.Refused(NodeReply.RefusalCode.DEADLINE, OptionalLong.empty());
        assertEquals(
                brokenPromises(
                        taken(0, W0, NON_IDEMPOTENT, 1, 0),
                        ran(10, W0, NON_IDEMPOTENT, 1, 0),
                        submitted(0, NON_IDEMPOTENT, 1),
                        new Observation.Answered(30, NON_IDEMPOTENT.spec().id(), 1, 0, refused)),
                List.of(Promise.NOT_RUN_MEANS_NOT_RUN));
    }

    @Test
    public void truncatedAnswer() {
        String half = NON_IDEMPOTENT.wholeAnswer(0).substring(3);
        assertEquals(
                brokenPromises(submitted(0, NON_IDEMPOTENT, 1), answered(30, NON_IDEMPOTENT, 1, completed(half))),
                List.of(Promise.WHOLE_ANSWER));
    }

    @Test
    public void answerWithWrongDigest() {
        byte[] bytes = NON_IDEMPOTENT.wholeAnswer(0).getBytes(StandardCharsets.UTF_8);
        assertEquals(
                brokenPromises(
                        submitted(0, NON_IDEMPOTENT, 1),
                        answered(30, NON_IDEMPOTENT, 1, new JobOutcome.Completed(bytes, "00"))),
                List.of(Promise.WHOLE_ANSWER));
    }

    @Test
    public void differentOutcomesForOneJob() {
        assertEquals(
                brokenPromises(
                        submitted(0, NON_IDEMPOTENT, 1),
                        submitted(0, NON_IDEMPOTENT, 2),
                        answered(30, NON_IDEMPOTENT, 1, completed(NON_IDEMPOTENT.wholeAnswer(0))),
                        answered(31, NON_IDEMPOTENT, 2, new JobOutcome.Broken("x"))),
                List.of(Promise.OUTCOME_STABLE));
    }

    @Test
    public void callerWithoutOutcome() {
        assertEquals(brokenPromises(submitted(0, NON_IDEMPOTENT, 1)), List.of(Promise.JOB_SETTLES));
    }

    @Test
    public void documentVersionDecreases() {
        assertEquals(
                brokenPromises(
                        new Observation.DocumentInForce(0, N0, 2, "b"), new Observation.DocumentInForce(1, N0, 1, "a")),
                List.of(Promise.DOCUMENT_MONOTONE));
    }

    @Test
    public void documentVersionWithTwoTexts() {
        assertEquals(
                brokenPromises(
                        new Observation.DocumentInForce(0, N0, 2, "b"), new Observation.DocumentInForce(1, N1, 2, "c")),
                List.of(Promise.DOCUMENT_MONOTONE));
    }

    @Test
    public void twoAcceptedChangesOnOneBaseVersion() {
        assertEquals(
                brokenPromises(new Observation.DocumentAccepted(0, 1, 2), new Observation.DocumentAccepted(1, 1, 3)),
                List.of(Promise.DOCUMENT_ONE_WINNER));
    }

    @Test
    public void documentNotInForceOnOneNode() {
        assertEquals(
                brokenPromises(
                        new Observation.NodeUp(0, N0),
                        new Observation.NodeUp(0, N1),
                        new Observation.DocumentInForce(10, N0, 2, "b"),
                        new Observation.DocumentAccepted(11, 1, 2)),
                List.of(Promise.DOCUMENT_IN_FORCE));
    }

    @Test
    public void drainLeavesRequestOpenOrNeverCompletes() {
        assertEquals(
                brokenPromises(new Observation.Drained(10, N0, 1), new Observation.NotDrained(END_MS, N1)),
                List.of(Promise.DRAIN_CUTS_NOTHING, Promise.DRAIN_CUTS_NOTHING));
    }

    private static List<Promise> brokenPromises(Observation... observations) {
        List<WorkerSpec> workers = List.of(worker(W0), worker(W1));
        Schedule schedule = new Schedule(1, 2, workers, List.of(GANG, NON_IDEMPOTENT), List.of(), 40_000, END_MS);
        List<Violation> violations =
                new ArrayList<>(HistoryChecker.check(new History(schedule, List.of(observations), 0, END_MS)));
        return violations.stream().map(Violation::promise).toList();
    }

    private static WorkerSpec worker(WorkerId id) {
        return new WorkerSpec(id, "suva-1", "r0", PART.times(2), 1.0);
    }

    private static JobPlan plan(String id, int parts, boolean idempotent) {
        JobSpec spec = new JobSpec(
                new JobId(id),
                Simulation.WORKSPACE,
                "kind",
                new Shape(parts, PART, Adjacency.DATA_CENTRE),
                1000,
                idempotent,
                false,
                Urgency.NORMAL,
                OptionalLong.empty());
        return new JobPlan(spec, 1000);
    }

    private static TaskId task(JobPlan plan, int attempt, int part) {
        return new TaskId(new AttemptId(plan.spec().id(), attempt), part);
    }

    private static Observation taken(long atMs, WorkerId worker, JobPlan plan, int attempt, int part) {
        return new Observation.PartTaken(atMs, worker, task(plan, attempt, part), PART);
    }

    private static Observation ran(long atMs, WorkerId worker, JobPlan plan, int attempt, int part) {
        return new Observation.PartRan(atMs, worker, task(plan, attempt, part));
    }

    private static Observation ended(long atMs, WorkerId worker, JobPlan plan, int attempt, int part, TaskState state) {
        return new Observation.PartEnded(atMs, worker, task(plan, attempt, part), state);
    }

    private static Observation submitted(long atMs, JobPlan plan, int caller) {
        return new Observation.Submitted(atMs, plan.spec().id(), caller, 0);
    }

    private static JobOutcome completed(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return new JobOutcome.Completed(bytes, Sha256.hex(bytes));
    }

    private static Observation answered(long atMs, JobPlan plan, int caller, JobOutcome outcome) {
        JobEntry waiting = JobEntry.accepted(new CellId("main"), plan.spec(), plan.payload(0), 0);
        JobEntry job = new JobEntry(
                waiting.cell(),
                waiting.spec(),
                new byte[0],
                waiting.payloadSha256(),
                0,
                JobStatus.FINISHED,
                1,
                List.of(),
                false,
                0,
                true,
                false,
                false,
                atMs,
                Optional.of(outcome));
        return new Observation.Answered(atMs, plan.spec().id(), caller, 0, new NodeReply.Job(job));
    }
}

package org.fuchsiawinch.replay.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AdmissionPolicy;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.FaultPolicy;
import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.LendingPolicy;
import org.fuchsiawinch.model.Objective;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.PricePolicy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;
import org.fuchsiawinch.replay.trace.TraceJob;

/** Builds small histories. Each workspace has one guaranteed shape of two parts with one accelerator each. */
public final class HistoryBuilder {

    /** Resources of one part. */
    public static final Resources PART = new Resources(1_000, 1_024, 1, 1, 1);

    /** Reclaim bound in ms. */
    public static final long BOUND_MS = 60_000;

    private static final WorkspaceId PLANS = new WorkspaceId("plans");

    private final List<HistoryEvent> events = new ArrayList<>();

    public static Policy policy(long spendLimitMicros) {
        Guarantee guarantee = new Guarantee(new Shape(2, PART, Adjacency.RACK), 1);
        WorkspacePolicy rules =
                new WorkspacePolicy(List.of(guarantee), 100, 100, OptionalLong.of(spendLimitMicros), 24L * 3_600_000);
        return new Policy(
                1,
                new Objective(1, 1),
                Map.of(PLANS, rules, new WorkspaceId("others"), rules),
                new LendingPolicy(true, 20_000, BOUND_MS),
                new EstimatePolicy(0.9, 5, 0.25, 8, 0, 2),
                new FaultPolicy(3, 3, 600_000, 120_000),
                new AdmissionPolicy(100, 1_000),
                new PricePolicy(3_600_000, 1_800_000, -1));
    }

    public static JobSpec job(String id, int parts, boolean idempotent) {
        return jobOf(PLANS.value(), id, parts, idempotent);
    }

    public static JobSpec jobOf(String workspace, String id, int parts, boolean idempotent) {
        return new JobSpec(
                new JobId(id),
                new WorkspaceId(workspace),
                "bundle",
                new Shape(parts, PART, Adjacency.RACK),
                10_000,
                idempotent,
                false,
                Urgency.NORMAL,
                OptionalLong.empty());
    }

    public static WorkerSpec workerSpec(String id, int accelerators) {
        return new WorkerSpec(new WorkerId(id), "suva-1", "r1", PART.times(accelerators), 1.0);
    }

    public HistoryBuilder policyInForce(long spendLimitMicros) {
        return add(new HistoryEvent.PolicyInForce(0, policy(spendLimitMicros)));
    }

    public HistoryBuilder worker(String id, int accelerators) {
        add(new HistoryEvent.WorkerUp(0, workerSpec(id, accelerators)));
        return add(new HistoryEvent.WorkerOpened(0, workerSpec(id, accelerators)));
    }

    public HistoryBuilder submit(long atMs, JobSpec spec) {
        return add(new HistoryEvent.JobSubmitted(
                atMs, new TraceJob(spec, spec.declaredRunMs(), 1_024, 5_000, false), spec.id(), atMs));
    }

    public HistoryBuilder startDecided(long atMs, String job, int attempt, String... workers) {
        List<Placement> placements = new ArrayList<>();
        for (int part = 0; part < workers.length; part++) {
            placements.add(new Placement(part, new WorkerId(workers[part])));
        }
        return add(new HistoryEvent.StartDecided(atMs, attemptId(job, attempt), placements, false));
    }

    public HistoryBuilder partStarts(long atMs, String job, int attempt, int part, String worker) {
        return add(new HistoryEvent.PartStarted(atMs, new TaskId(attemptId(job, attempt), part), new WorkerId(worker)));
    }

    public HistoryBuilder partEnds(long atMs, String job, int attempt, int part, PartEnd end) {
        return add(new HistoryEvent.PartEnded(atMs, new TaskId(attemptId(job, attempt), part), end));
    }

    public HistoryBuilder resultDelivered(long atMs, String job) {
        return add(new HistoryEvent.ResultDelivered(atMs, new JobId(job)));
    }

    public HistoryBuilder endReported(long atMs, String job, boolean ran, ReasonCode code) {
        return add(new HistoryEvent.JobEndReported(atMs, new JobId(job), ran, code));
    }

    public HistoryBuilder add(HistoryEvent event) {
        events.add(event);
        return this;
    }

    public List<HistoryEvent> events() {
        return events;
    }

    public int violations(Promise promise) {
        return new PromiseChecker().check(events).counts().get(promise);
    }

    public int violationCount() {
        return new PromiseChecker().check(events).violations().size();
    }

    public static AttemptId attemptId(String job, int attempt) {
        return new AttemptId(new JobId(job), attempt);
    }
}

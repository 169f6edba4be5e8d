package org.fuchsiawinch.core;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

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
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.PricePolicy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;

/** Test fixture: a guarantee scheduler with a virtual clock, with shorthands to send events and inspect decisions. */
final class SchedulerFixture {

    static final Resources PART = new Resources(1000, 1024, 1, 1, 1);
    static final long HOUR_MS = 3_600_000;

    final Scheduler scheduler;
    final Map<AttemptId, Decision.StartGang> running = new LinkedHashMap<>();
    final Map<JobId, JobSpec> specs = new HashMap<>();
    long nowMs;
    List<Decision> last = List.of();

    SchedulerFixture(SchedulerFeatures features) {
        this.scheduler = new GuaranteeScheduler(features);
    }

    /** Creates a fixture with one mechanism disabled, or with none disabled for null. */
    static SchedulerFixture disabling(SchedulerFeature off) {
        return new SchedulerFixture(
                off == null
                        ? SchedulerFeatures.defaults()
                        : SchedulerFeatures.defaults().without(off));
    }

    /** Creates a fixture with two mechanisms disabled. */
    static SchedulerFixture disabling(SchedulerFeature first, SchedulerFeature second) {
        return new SchedulerFixture(SchedulerFeatures.defaults().without(first).without(second));
    }

    SchedulerFixture send(SchedulerEvent event) {
        last = scheduler.decide(event, nowMs);
        for (Decision decision : last) {
            if (decision instanceof Decision.StartGang start) {
                running.put(start.attempt(), start);
            }
        }
        return this;
    }

    /** Sets the present time in ms without sending an event. */
    SchedulerFixture at(long ms) {
        nowMs = ms;
        return this;
    }

    SchedulerFixture tick(long ms) {
        return at(ms).send(new SchedulerEvent.Tick());
    }

    SchedulerFixture worker(String id, String rack, int accelerators, double speed) {
        return worker(id, rack, PART.times(accelerators), speed);
    }

    SchedulerFixture worker(String id, String rack, Resources capacity, double speed) {
        String dataCentre = rack.substring(0, 1);
        return send(
                new SchedulerEvent.WorkerJoined(new WorkerSpec(new WorkerId(id), dataCentre, rack, capacity, speed)));
    }

    /** Adds workers of speed 1.0 named w0, w1 and so on in rack a1. */
    SchedulerFixture workers(int count, int accelerators) {
        for (int i = 0; i < count; i++) {
            worker("w" + i, "a1", accelerators, 1.0);
        }
        return this;
    }

    SchedulerFixture loseWorker(String worker) {
        return send(new SchedulerEvent.WorkerLost(new WorkerId(worker)));
    }

    SchedulerFixture submit(JobSpec spec) {
        specs.put(spec.id(), spec);
        return send(new SchedulerEvent.JobSubmitted(spec));
    }

    /** Completes all parts of a running job; {@link #last} then holds the decisions on all of them. */
    SchedulerFixture complete(String job) {
        AttemptId attempt = attemptOf(job).orElseThrow();
        int parts = running.remove(attempt).placements().size();
        List<Decision> all = new java.util.ArrayList<>();
        for (int part = 0; part < parts; part++) {
            send(new SchedulerEvent.TaskCompleted(new TaskId(attempt, part)));
            all.addAll(last);
        }
        last = all;
        return this;
    }

    /** Reports the failure of part 0 of a running job. */
    SchedulerFixture fail(String job, TaskFailure failure) {
        return send(new SchedulerEvent.TaskFailed(new TaskId(attemptOf(job).orElseThrow(), 0), failure));
    }

    SchedulerFixture stopped(String job, boolean checkpointed) {
        AttemptId attempt = attemptOf(job).orElseThrow();
        running.remove(attempt);
        return send(new SchedulerEvent.AttemptStopped(attempt, checkpointed));
    }

    Optional<AttemptId> attemptOf(String job) {
        return running.keySet().stream()
                .filter(id -> id.job().value().equals(job))
                .reduce((first, second) -> second);
    }

    boolean runs(String job) {
        return attemptOf(job).isPresent();
    }

    Decision.StartGang start(String job) {
        return running.get(attemptOf(job).orElseThrow());
    }

    List<String> workersOf(String job) {
        return start(job).placements().stream()
                .map(placement -> placement.worker().value())
                .distinct()
                .sorted()
                .toList();
    }

    Optional<ReasonCode> waitCode(String job) {
        return scheduler.waitReason(new JobId(job), nowMs).map(Reason::code);
    }

    <T extends Decision> List<T> decisions(Class<T> type) {
        return last.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<String> stoppedJobs() {
        return decisions(Decision.StopGang.class).stream()
                .map(stop -> stop.attempt().job().value())
                .toList();
    }

    Optional<Decision.EndJob> end() {
        return decisions(Decision.EndJob.class).stream().findFirst();
    }

    static Shape shape(int parts, Adjacency adjacency) {
        return new Shape(parts, PART, adjacency);
    }

    /** Returns an idempotent job of one hour, not checkpointable, whose parts share a worker. */
    static JobSpec job(String id, String workspace, int parts) {
        return job(id, workspace, shape(parts, Adjacency.WORKER), HOUR_MS);
    }

    static JobSpec job(String id, String workspace, Shape shape, long runMs) {
        return job(id, workspace, shape, runMs, true, false);
    }

    static JobSpec job(
            String id, String workspace, Shape shape, long runMs, boolean idempotent, boolean checkpointable) {
        return new JobSpec(
                new JobId(id),
                new WorkspaceId(workspace),
                "kind",
                shape,
                runMs,
                idempotent,
                checkpointable,
                Urgency.NORMAL,
                OptionalLong.empty());
    }

    static WorkspacePolicy workspace(Guarantee... guarantees) {
        return new WorkspacePolicy(List.of(guarantees), 1000, 2000, OptionalLong.empty(), 0);
    }

    static Guarantee guarantee(int parts, int count) {
        return new Guarantee(shape(parts, Adjacency.WORKER), count);
    }

    SchedulerFixture policy(Map<String, WorkspacePolicy> workspaces) {
        return send(new SchedulerEvent.PolicyChanged(policyOf(workspaces, 0.5)));
    }

    static Policy policyOf(Map<String, WorkspacePolicy> workspaces, double fragmentationShare) {
        Map<WorkspaceId, WorkspacePolicy> byId = new HashMap<>();
        workspaces.forEach((name, rules) -> byId.put(new WorkspaceId(name), rules));
        return new Policy(
                1,
                new Objective(1 - fragmentationShare, fragmentationShare),
                byId,
                new LendingPolicy(true, 5_000, 30_000),
                new EstimatePolicy(0.9, 3, 0.1, 10, 3, 2),
                new FaultPolicy(3, 3, HOUR_MS, 60_000),
                new AdmissionPolicy(1000, 1_000),
                new PricePolicy(1_000_000, 500_000, 1_000));
    }
}

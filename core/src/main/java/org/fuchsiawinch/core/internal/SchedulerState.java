package org.fuchsiawinch.core.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.LendingPolicy;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;

/** State shared by the components of the engine. Not thread-safe. */
final class SchedulerState {

    final SchedulerFeatures features;
    final WorkerPool pool = new WorkerPool();
    final JobQueue queue = new JobQueue();
    final GangPlacer placer;
    final GuaranteePlacer guaranteePlacer;
    final VictimSelector victimSelector;
    final Estimator estimator;
    final FaultTracker faults;
    final Map<JobId, Job> jobs = new HashMap<>();
    final List<Claim> claims = new ArrayList<>();
    /** Workers put into quarantine whose decision is still to be emitted. */
    final TreeSet<WorkerId> newlyQuarantined = new TreeSet<>();
    /** Workspaces whose guarantees may have gained unused capacity. */
    final TreeSet<WorkspaceId> promotable = new TreeSet<>();

    private final TreeMap<WorkspaceId, WorkspaceLedger> ledgers = new TreeMap<>();
    private Optional<Policy> policy = Optional.empty();
    private List<Decision> decisions = new ArrayList<>();
    private long nowMs;
    private long sequence;
    private boolean capacityGrew;

    SchedulerState(SchedulerFeatures features) {
        this.features = features;
        this.placer = new GangPlacer(pool, features);
        this.guaranteePlacer = new GuaranteePlacer(placer, features);
        this.victimSelector = new VictimSelector(features);
        this.estimator = new Estimator(features);
        this.faults = new FaultTracker(features);
    }

    boolean has(SchedulerFeature feature) {
        return features.has(feature);
    }

    /** Clears the decisions and sets the present time, which never falls. */
    void beginEvent(long presentMs) {
        nowMs = Math.max(nowMs, presentMs);
        decisions = new ArrayList<>();
    }

    List<Decision> decisions() {
        return decisions;
    }

    void emit(Decision decision) {
        decisions.add(decision);
    }

    long nowMs() {
        return nowMs;
    }

    long nextSequence() {
        return sequence++;
    }

    Optional<Policy> policy() {
        return policy;
    }

    void policy(Policy accepted) {
        policy = Optional.of(accepted);
    }

    /** Returns the policy of a workspace, or empty if the document does not contain it. */
    Optional<WorkspacePolicy> workspacePolicy(WorkspaceId workspace) {
        return policy.map(accepted -> accepted.workspaces().get(workspace));
    }

    WorkspaceLedger ledger(WorkspaceId workspace) {
        return ledgers.computeIfAbsent(workspace, key -> new WorkspaceLedger());
    }

    /** Returns the running attempt with the given id, or empty if it has ended or is unknown. */
    Optional<Attempt> attempt(AttemptId id) {
        Job job = jobs.get(id.job());
        if (job == null || job.attempt() == null) {
            return Optional.empty();
        }
        return Optional.of(job.attempt()).filter(attempt -> attempt.id().equals(id));
    }

    /** Returns the resources to grant to each part of a job: the declared ones with the corrected memory. */
    Resources grant(Job job) {
        int declared = job.spec().shape().perPart().memoryMb();
        int corrected = Math.max(estimatedMemoryMb(job), job.memoryFloorMb());
        return job.partWithMemory(Math.max(declared, corrected));
    }

    private int estimatedMemoryMb(Job job) {
        int corrected = estimator.memoryMb(job.spec());
        return pool.maxMemoryMb() < corrected ? job.spec().shape().perPart().memoryMb() : corrected;
    }

    /** Returns whether a job may run on lent capacity: it can be stopped within the reclaim bound and run again. */
    boolean lendable(Job job) {
        LendingPolicy lending = policy.map(Policy::lending).orElse(new LendingPolicy(false, 0, 0));
        boolean checkpointInTime = lending.checkpointMs() <= lending.reclaimBoundMs();
        boolean repeatable = job.spec().idempotent() || (job.spec().checkpointable() && checkpointInTime);
        return lending.enabled() && repeatable;
    }

    JobClass.Key classKey(Job job) {
        return new JobClass.Key(
                job.spec().workspace(),
                job.spec().urgency(),
                job.spec().shape(),
                grant(job),
                job.spec().reclaimable(),
                job.avoid().isEmpty() ? job.avoid() : new TreeSet<>(job.avoid()));
    }

    /** Marks that a job may fit that did not fit before. */
    void capacityGrew() {
        capacityGrew = true;
    }

    boolean capacityHasGrown() {
        return capacityGrew;
    }

    /** Returns whether capacity grew since the last call, and resets the mark. */
    boolean pollCapacityGrew() {
        boolean grew = capacityGrew;
        capacityGrew = false;
        return grew;
    }
}

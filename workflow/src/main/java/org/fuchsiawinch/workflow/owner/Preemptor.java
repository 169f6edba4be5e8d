package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.Submission;

/**
 * Preempts runs in order to free capacity for urgent units, and selects the victims with the least loss of utility.
 * Work inside a guarantee may preempt all work outside of one; other urgent work may preempt less urgent work if the
 * gain outweighs the loss. Each pass claims the capacity for the unit again while its victims stop, so that no other
 * unit takes it. Gains and losses are in the unit of {@link JobUtility}. Not thread-safe.
 */
final class Preemptor {

    /** Share of its progress that a run with checkpoints loses: the part since the last checkpoint. */
    private static final double CHECKPOINT_LOSS = 0.2;

    /** Cost of a core-second of lost work, as the users state. */
    private static final double WASTED_WORK_COST = 0.0021;

    /** Cost of a preempted run besides its lost work: another start and the wait for it. */
    private static final double STOP_COST = 0.02;

    /** Minimum ratio of gain to loss for a unit outside a guarantee; above 1 since both are estimates. */
    private static final double MIN_GAIN_RATIO = 2;

    /** Gain of a unit outside a guarantee below which no victims are searched; a single stop costs more. */
    private static final double MIN_GAIN = 0.05;

    /** Run-time limits of alternative plans, as multiples of the expected run time: all workers, then faster ones. */
    private static final double[] RUN_TIME_LIMITS = {Double.MAX_VALUE, 1.4, 1.1, 0.85};

    /** Time in ms from a stop order until the capacity is free. */
    private static final long STOP_MS = 450;

    /** Time in ms that work waits for free capacity on a busy day. */
    private static final long CAPACITY_WAIT_MS = 2500;

    private final CellState state;
    private final RunTracker runTracker;
    private final Map<SchedulingUnit, List<WorkerState>> claimedWorkers = new HashMap<>();

    /** Losses computed in the pass at {@link #lossesAtMs}. */
    private final Map<ActiveRun, Double> lossByRun = new HashMap<>();

    private long lossesAtMs;

    Preemptor(CellState state, RunTracker runTracker) {
        this.state = state;
        this.runTracker = runTracker;
    }

    /** A unit that claims capacity, and the rules for its victims. */
    private record Claim(SchedulingUnit unit, Placer placer, Set<JobState> guaranteedJobs, boolean insideGuarantee) {

        boolean mayPreempt(ActiveRun run) {
            return !guaranteedJobs.contains(run.job)
                    && (insideGuarantee || run.job.submission().rules().priority() > 0);
        }
    }

    /** Placement of a unit's tasks, with the victims to stop and the loss of utility. */
    private record Plan(List<WorkerState> workers, Set<ActiveRun> victims, double loss) {

        /** Returns whether a run ends anyway because another member of its gang is a victim. */
        boolean breaksGangOf(ActiveRun run) {
            return run.step().gang()
                    && victims.stream()
                            .anyMatch(victim -> victim.job == run.job
                                    && victim.id.task().step() == run.id.task().step());
        }

        Plan withLoss(double newLoss) {
            return new Plan(workers, victims, newLoss);
        }
    }

    /** The victims with the least loss that free capacity for one task on a worker. */
    private record VictimSet(WorkerState worker, List<ActiveRun> victims, double loss) {}

    /** Claims capacity for all tasks of the unit and stops the victims; returns false if nothing was claimed. */
    boolean claim(SchedulingUnit unit, Placer placer, Set<JobState> guaranteedJobs, long nowMs) {
        Claim claim = new Claim(unit, placer, guaranteedJobs, guaranteedJobs.contains(unit.job()));
        double gain = gain(unit, nowMs);
        if (!claim.insideGuarantee() && gain < MIN_GAIN) {
            return false;
        }
        Optional<Plan> plan = planOnClaimedWorkers(claim, nowMs);
        if (plan.isEmpty() && unit.rackBound()) {
            plan = placer.racks().stream()
                    .map(rack -> plan(claim, rack, nowMs))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Plan::loss));
        }
        if (plan.isEmpty()) {
            plan = plan(claim, placer.usable(), nowMs);
        }
        if (!claim.insideGuarantee()
                && plan.filter(found -> found.loss() * MIN_GAIN_RATIO <= gain).isEmpty()) {
            return false;
        }
        if (plan.isEmpty()) {
            state.log.line(
                    "reclaim-failed",
                    "request",
                    unit.job().submission().id(),
                    "step",
                    unit.step(),
                    "usableWorkers",
                    placer.usable().size());
            return false;
        }
        claimedWorkers.put(unit, List.copyOf(new LinkedHashSet<>(plan.get().workers())));
        plan.get().workers().forEach(worker -> placer.deduct(worker, unit.spec().perTask()));
        plan.get().victims().forEach(victim -> runTracker.stop(victim, "reclaimed", nowMs));
        return true;
    }

    /** Plans on the workers of the unit's earlier claim; other workers would mean additional victims. */
    private Optional<Plan> planOnClaimedWorkers(Claim claim, long nowMs) {
        List<WorkerState> claimed = claimedWorkers.getOrDefault(claim.unit(), List.of()).stream()
                .filter(claim.placer().usable()::contains)
                .toList();
        return claimed.isEmpty() ? Optional.empty() : plan(claim, claimed, nowMs);
    }

    /** Removes the claim of a unit that was placed. */
    void removeClaim(SchedulingUnit unit) {
        claimedWorkers.remove(unit);
    }

    /** Removes the claims of units that no longer wait. */
    void retainClaims(Set<SchedulingUnit> waiting) {
        claimedWorkers.keySet().retainAll(waiting);
    }

    /** Returns the plan with the least loss from victims and slow workers; a gang is as slow as its slowest member. */
    private Optional<Plan> plan(Claim claim, List<WorkerState> workers, long nowMs) {
        SchedulingUnit unit = claim.unit();
        double referenceRunMs = state.predictor.referenceRunMs(unit.job(), unit.spec());
        Optional<Plan> best = Optional.empty();
        for (double limit : RUN_TIME_LIMITS) {
            List<WorkerState> eligible = workers.stream()
                    .filter(worker -> Placer.eligible(worker, unit) && runMs(unit, worker) <= limit * referenceRunMs)
                    .toList();
            Optional<Plan> found = selectVictims(claim, eligible, nowMs)
                    .map(plan -> plan.withLoss(plan.loss()
                            + slowWorkerLoss(
                                    unit,
                                    plan.workers().stream()
                                            .mapToDouble(worker -> runMs(unit, worker))
                                            .max()
                                            .orElse(referenceRunMs),
                                    nowMs)));
            if (found.isPresent()
                    && (best.isEmpty() || found.get().loss() < best.get().loss())) {
                best = found;
            }
        }
        return best;
    }

    private Optional<Plan> selectVictims(Claim claim, List<WorkerState> eligible, long nowMs) {
        Resources need = claim.unit().spec().perTask();
        Map<WorkerState, Resources> claimed = new HashMap<>();
        Plan plan = new Plan(new ArrayList<>(), new LinkedHashSet<>(), 0);
        for (int i = 0; i < claim.unit().indexes().size(); i++) {
            Plan soFar = plan;
            Optional<VictimSet> best = eligible.stream()
                    .map(worker -> selectVictims(
                            claim,
                            worker,
                            claim.placer().free(worker).minus(claimed.getOrDefault(worker, Resources.NONE)),
                            soFar,
                            nowMs))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(VictimSet::loss));
            if (best.isEmpty()) {
                return Optional.empty();
            }
            VictimSet victimSet = best.get();
            claimed.merge(victimSet.worker(), need, Resources::plus);
            plan.workers().add(victimSet.worker());
            plan.victims().addAll(victimSet.victims());
            plan = plan.withLoss(plan.loss() + victimSet.loss());
        }
        return Optional.of(plan);
    }

    private Optional<VictimSet> selectVictims(Claim claim, WorkerState worker, Resources free, Plan plan, long nowMs) {
        Resources need = claim.unit().spec().perTask();
        Resources available = free;
        Map<ActiveRun, Double> candidates = new LinkedHashMap<>();
        for (ActiveRun run : worker.runs.values()) {
            if (run.stopping || plan.victims().contains(run) || endsSoon(run, nowMs)) {
                available = available.plus(run.need);
            } else if (claim.mayPreempt(run)) {
                candidates.put(run, plan.breaksGangOf(run) ? 0 : loss(run, nowMs));
            }
        }
        List<ActiveRun> victims = new ArrayList<>();
        double loss = 0;
        List<ActiveRun> cheapestFirst = candidates.keySet().stream()
                .sorted(Comparator.comparing(candidates::get))
                .toList();
        for (ActiveRun run : cheapestFirst) {
            if (need.fitsIn(available)) {
                break;
            }
            victims.add(run);
            available = available.plus(run.need);
            loss += candidates.get(run);
        }
        return need.fitsIn(available) ? Optional.of(new VictimSet(worker, victims, loss)) : Optional.empty();
    }

    /** Returns whether a run is about to end within the time of a stop. False if it is long overdue: it may hang. */
    private boolean endsSoon(ActiveRun run, long nowMs) {
        if (run.percent <= 0 || run.step().gang()) {
            return false;
        }
        double remainingMs = state.predictor.remainingMs(run, state.settings.remoteFactor(), nowMs);
        return Math.abs(remainingMs) <= STOP_MS;
    }

    /** Returns the gain in utility if the job starts after a stop instead of waiting for free capacity. */
    private double gain(SchedulingUnit unit, long nowMs) {
        double runMs = state.predictor.referenceRunMs(unit.job(), unit.spec());
        double ageMs = nowMs - unit.job().submission().acceptedAtMs();
        JobUtility.CompletionForecast forecast =
                state.predictor.completionForecast(unit.job(), unit.step(), ageMs + STOP_MS, runMs);
        return state.utility.expected(unit.job().submission(), forecast)
                - state.utility.expected(unit.job().submission(), forecast.delayedBy(CAPACITY_WAIT_MS));
    }

    private double runMs(SchedulingUnit unit, WorkerState worker) {
        return state.predictor.runMs(unit.job(), unit.spec(), worker, state.settings.remoteFactor());
    }

    /** Returns the loss of utility if the unit runs longer than on workers of speed 1. */
    private double slowWorkerLoss(SchedulingUnit unit, double runMs, long nowMs) {
        Submission job = unit.job().submission();
        double ageMs = nowMs - job.acceptedAtMs() + STOP_MS;
        JobUtility.CompletionForecast reference = state.predictor.completionForecast(
                unit.job(), unit.step(), ageMs, state.predictor.referenceRunMs(unit.job(), unit.spec()));
        JobUtility.CompletionForecast slower =
                state.predictor.completionForecast(unit.job(), unit.step(), ageMs, runMs);
        return state.utility.expected(job, reference) - state.utility.expected(job, slower);
    }

    /**
     * Returns the loss if a run and the other members of its gang are stopped: wasted work, and utility lost to a
     * restart after another wait for capacity. The cost of the stop and of the wasted work is multiplied by the run
     * number, so that the same task is not preempted repeatedly. Computed once per run and pass.
     */
    private double loss(ActiveRun run, long nowMs) {
        if (lossesAtMs != nowMs) {
            lossesAtMs = nowMs;
            lossByRun.clear();
        }
        return lossByRun.computeIfAbsent(run, stopped -> computeLoss(stopped, nowMs));
    }

    private double computeLoss(ActiveRun run, long nowMs) {
        List<ActiveRun> members = run.step().gang() ? members(run) : List.of(run);
        double lostShare = run.step().checkpoints() ? CHECKPOINT_LOSS : 1;
        double completedShare = members.stream()
                .mapToDouble(member -> state.predictor.completedShare(member, state.settings.remoteFactor(), nowMs))
                .average()
                .orElse(0);
        double remainingMs = members.stream()
                .mapToDouble(member -> state.predictor.remainingMs(member, state.settings.remoteFactor(), nowMs))
                .max()
                .orElse(0);
        double wasted = members.size()
                * completedShare
                * lostShare
                * JobUtility.coreSeconds(run.need, run.step().estimatedMs());
        double restartRunMs =
                state.predictor.referenceRunMs(run.job, run.step()) * (1 - completedShare * (1 - lostShare));
        double ageMs = nowMs - run.job.submission().acceptedAtMs();
        JobUtility.CompletionForecast uninterrupted =
                state.predictor.completionForecast(run.job, run.id.task().step(), ageMs, Math.max(0, remainingMs));
        JobUtility.CompletionForecast restarted = state.predictor.completionForecast(
                run.job, run.id.task().step(), ageMs + CAPACITY_WAIT_MS, restartRunMs);
        double lostUtility = state.utility.expected(run.job.submission(), uninterrupted)
                - state.utility.expected(run.job.submission(), restarted);
        return run.id.number() * (STOP_COST * members.size() + WASTED_WORK_COST * wasted) + Math.max(0, lostUtility);
    }

    private List<ActiveRun> members(ActiveRun run) {
        return runTracker.runsOf(run.job).stream()
                .filter(other -> other.id.task().step() == run.id.task().step())
                .toList();
    }
}

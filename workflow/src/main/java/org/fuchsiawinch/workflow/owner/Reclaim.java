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
 * unit takes it. Losses are in the unit of the users' sheets. Not thread-safe.
 */
final class Reclaim {

    /** Share of its progress that a run with checkpoints loses: the part since the last checkpoint. */
    private static final double CHECKPOINT_LOSS = 0.2;

    /** Cost of a core-second of lost work, as the users state. */
    private static final double WORK_PRICE = 0.0021;

    /** Cost of a preempted run besides its lost work: another start and the wait for it. */
    private static final double STOP_PRICE = 0.02;

    /** Minimum ratio of gain to loss for a unit outside a guarantee; above 1 since both are estimates. */
    private static final double GAIN_FACTOR = 2;

    /** Gain of a unit outside a guarantee below which no victims are searched; a single stop costs more. */
    private static final double LEAST_GAIN = 0.05;

    /** Run-time limits of alternative plans, as multiples of the expected run time: all workers, then faster ones. */
    private static final double[] SPEED_LIMITS = {Double.MAX_VALUE, 1.4, 1.1, 0.85};

    /** Time in ms from a stop order until the capacity is free. */
    private static final long STOP_MS = 450;

    /** Time in ms that work waits for free capacity on a busy day. */
    private static final long ROOM_MS = 2500;

    private final CellState state;
    private final Runs runs;
    private final Map<Unit, List<WorkerState>> claims = new HashMap<>();
    private final Map<ActiveRun, Double> losses = new HashMap<>();
    private long lossesMs;

    Reclaim(CellState state, Runs runs) {
        this.state = state;
        this.runs = runs;
    }

    /** A unit that claims capacity, and the rules for its victims. */
    private record Claim(Unit unit, Placer placer, Set<JobState> guaranteed, boolean entitled) {

        boolean mayStop(ActiveRun run) {
            return !guaranteed.contains(run.job)
                    && (entitled || run.job.submission().rules().priority() > 0);
        }
    }

    /** Placement of a unit's tasks, with the victims to stop and the loss of utility. */
    private record Plan(List<WorkerState> workers, Set<ActiveRun> victims, double loss) {

        /** Returns whether a run ends anyway because another member of its gang is a victim. */
        boolean breaks(ActiveRun run) {
            return run.step().gang()
                    && victims.stream()
                            .anyMatch(victim -> victim.job == run.job
                                    && victim.run.task().step()
                                            == run.run.task().step());
        }

        Plan withLoss(double newLoss) {
            return new Plan(workers, victims, newLoss);
        }
    }

    /** The victims with the least loss that free capacity for one task on a worker. */
    private record Clearing(WorkerState worker, List<ActiveRun> victims, double loss) {}

    /** Claims capacity for all tasks of the unit and stops the victims; returns false if nothing was claimed. */
    boolean claim(Unit unit, Placer placer, Set<JobState> guaranteed, long nowMs) {
        Claim claim = new Claim(unit, placer, guaranteed, guaranteed.contains(unit.job()));
        double gain = gain(unit, nowMs);
        if (!claim.entitled() && gain < LEAST_GAIN) {
            return false;
        }
        Optional<Plan> plan = standing(claim, nowMs);
        if (plan.isEmpty() && unit.rackBound()) {
            plan = placer.racks().stream()
                    .map(rack -> plan(claim, rack, nowMs))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Plan::loss));
        }
        if (plan.isEmpty()) {
            plan = plan(claim, placer.usable(), nowMs);
        }
        if (!claim.entitled()
                && plan.filter(found -> found.loss() * GAIN_FACTOR <= gain).isEmpty()) {
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
        claims.put(unit, List.copyOf(new LinkedHashSet<>(plan.get().workers())));
        plan.get().workers().forEach(worker -> placer.take(worker, unit.spec().perTask()));
        plan.get().victims().forEach(victim -> runs.stop(victim, "reclaimed", nowMs));
        return true;
    }

    /** Plans on the workers of the unit's earlier claim; other workers would mean additional victims. */
    private Optional<Plan> standing(Claim claim, long nowMs) {
        List<WorkerState> claimed = claims.getOrDefault(claim.unit(), List.of()).stream()
                .filter(claim.placer().usable()::contains)
                .toList();
        return claimed.isEmpty() ? Optional.empty() : plan(claim, claimed, nowMs);
    }

    /** Removes the claim of a unit that was placed. */
    void settled(Unit unit) {
        claims.remove(unit);
    }

    /** Removes the claims of units that no longer wait. */
    void retain(Set<Unit> waiting) {
        claims.keySet().retainAll(waiting);
    }

    /** Returns the plan with the least loss from victims and slow workers; a gang is as slow as its slowest member. */
    private Optional<Plan> plan(Claim claim, List<WorkerState> workers, long nowMs) {
        Unit unit = claim.unit();
        double meanMs = state.forecast.meanMs(unit.job(), unit.spec());
        Optional<Plan> best = Optional.empty();
        for (double limit : SPEED_LIMITS) {
            List<WorkerState> open = workers.stream()
                    .filter(worker -> Placer.allows(worker, unit) && runMs(unit, worker) <= limit * meanMs)
                    .toList();
            Optional<Plan> found = clear(claim, open, nowMs)
                    .map(plan -> plan.withLoss(plan.loss()
                            + slowLoss(
                                    unit,
                                    plan.workers().stream()
                                            .mapToDouble(worker -> runMs(unit, worker))
                                            .max()
                                            .orElse(meanMs),
                                    nowMs)));
            if (found.isPresent()
                    && (best.isEmpty() || found.get().loss() < best.get().loss())) {
                best = found;
            }
        }
        return best;
    }

    private Optional<Plan> clear(Claim claim, List<WorkerState> open, long nowMs) {
        Resources need = claim.unit().spec().perTask();
        Map<WorkerState, Resources> taken = new HashMap<>();
        Plan plan = new Plan(new ArrayList<>(), new LinkedHashSet<>(), 0);
        for (int i = 0; i < claim.unit().indexes().size(); i++) {
            Plan soFar = plan;
            Optional<Clearing> best = open.stream()
                    .map(worker -> clear(
                            claim,
                            worker,
                            claim.placer().room(worker).minus(taken.getOrDefault(worker, Resources.NONE)),
                            soFar,
                            nowMs))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Clearing::loss));
            if (best.isEmpty()) {
                return Optional.empty();
            }
            Clearing clearing = best.get();
            taken.merge(clearing.worker(), need, Resources::plus);
            plan.workers().add(clearing.worker());
            plan.victims().addAll(clearing.victims());
            plan = plan.withLoss(plan.loss() + clearing.loss());
        }
        return Optional.of(plan);
    }

    private Optional<Clearing> clear(Claim claim, WorkerState worker, Resources freeRoom, Plan plan, long nowMs) {
        Resources need = claim.unit().spec().perTask();
        Resources room = freeRoom;
        Map<ActiveRun, Double> candidates = new LinkedHashMap<>();
        for (ActiveRun run : worker.runs.values()) {
            if (run.stopping || plan.victims().contains(run) || endsSoon(run, nowMs)) {
                room = room.plus(run.need);
            } else if (claim.mayStop(run)) {
                candidates.put(run, plan.breaks(run) ? 0 : loss(run, nowMs));
            }
        }
        List<ActiveRun> victims = new ArrayList<>();
        double loss = 0;
        List<ActiveRun> cheapestFirst = candidates.keySet().stream()
                .sorted(Comparator.comparing(candidates::get))
                .toList();
        for (ActiveRun run : cheapestFirst) {
            if (need.fitsIn(room)) {
                break;
            }
            victims.add(run);
            room = room.plus(run.need);
            loss += candidates.get(run);
        }
        return need.fitsIn(room) ? Optional.of(new Clearing(worker, victims, loss)) : Optional.empty();
    }

    /** Returns whether a run is about to end within the time of a stop. False if it is long overdue: it may hang. */
    private boolean endsSoon(ActiveRun run, long nowMs) {
        if (run.percent <= 0 || run.step().gang()) {
            return false;
        }
        double remainingMs = state.forecast.remainingMs(run, state.settings.remoteFactor(), nowMs);
        return Math.abs(remainingMs) <= STOP_MS;
    }

    /** Returns the gain in utility if the job starts after a stop instead of waiting for free capacity. */
    private double gain(Unit unit, long nowMs) {
        double runMs = state.forecast.meanMs(unit.job(), unit.spec());
        double ageMs = nowMs - unit.job().submission().acceptedAtMs();
        JobWorth.Prospect prospect = state.forecast.prospect(unit.job(), unit.step(), ageMs + STOP_MS, runMs);
        return state.worth.expected(unit.job().submission(), prospect)
                - state.worth.expected(unit.job().submission(), prospect.later(ROOM_MS));
    }

    private double runMs(Unit unit, WorkerState worker) {
        return state.forecast.runMs(unit.job(), unit.spec(), worker, state.settings.remoteFactor());
    }

    /** Returns the loss of utility if the unit runs longer than on workers of speed 1. */
    private double slowLoss(Unit unit, double runMs, long nowMs) {
        Submission job = unit.job().submission();
        double ageMs = nowMs - job.acceptedAtMs() + STOP_MS;
        JobWorth.Prospect usual =
                state.forecast.prospect(unit.job(), unit.step(), ageMs, state.forecast.meanMs(unit.job(), unit.spec()));
        JobWorth.Prospect here = state.forecast.prospect(unit.job(), unit.step(), ageMs, runMs);
        return state.worth.expected(job, usual) - state.worth.expected(job, here);
    }

    /**
     * Returns the loss if a run and the other members of its gang are stopped: wasted work, and utility lost to a
     * restart after another wait for capacity. The cost of the stop and of the wasted work is multiplied by the run
     * number, so that the same task is not preempted repeatedly.
     */
    private double loss(ActiveRun run, long nowMs) {
        if (lossesMs != nowMs) {
            lossesMs = nowMs;
            losses.clear();
        }
        return losses.computeIfAbsent(run, stopped -> computeLoss(stopped, nowMs));
    }

    private double computeLoss(ActiveRun run, long nowMs) {
        List<ActiveRun> members = run.step().gang() ? members(run) : List.of(run);
        double kept = run.step().checkpoints() ? CHECKPOINT_LOSS : 1;
        double done = members.stream()
                .mapToDouble(member -> state.forecast.doneShare(member, state.settings.remoteFactor(), nowMs))
                .average()
                .orElse(0);
        double leftMs = members.stream()
                .mapToDouble(member -> state.forecast.remainingMs(member, state.settings.remoteFactor(), nowMs))
                .max()
                .orElse(0);
        double wasted = members.size()
                * done
                * kept
                * JobWorth.work(run.need, run.step().estimatedMs());
        double againMs = state.forecast.meanMs(run.job, run.step()) * (1 - done * (1 - kept));
        double ageMs = nowMs - run.job.submission().acceptedAtMs();
        JobWorth.Prospect goesOn =
                state.forecast.prospect(run.job, run.run.task().step(), ageMs, Math.max(0, leftMs));
        JobWorth.Prospect again =
                state.forecast.prospect(run.job, run.run.task().step(), ageMs + ROOM_MS, againMs);
        double lost =
                state.worth.expected(run.job.submission(), goesOn) - state.worth.expected(run.job.submission(), again);
        return run.run.number() * (STOP_PRICE * members.size() + WORK_PRICE * wasted) + Math.max(0, lost);
    }

    private List<ActiveRun> members(ActiveRun run) {
        return runs.of(run.job).stream()
                .filter(other -> other.run.task().step() == run.run.task().step())
                .toList();
    }
}

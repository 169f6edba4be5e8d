package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

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

    /** Gain of a unit outside a guarantee below which no victims are searched; a stop with its lost work costs more. */
    private static final double MIN_GAIN = 0.05;

    /** Run-time limits of alternative plans, as multiples of the expected run time: all workers, then faster ones. */
    private static final double[] RUN_TIME_LIMITS = {Double.MAX_VALUE, 1.4, 1.1, 0.85};

    /** Time in ms from a stop order until the capacity is free. */
    private static final long STOP_MS = 450;

    /** Time in ms for which a failed attempt and computed losses stand; both change with the progress of runs. */
    private static final long VALID_MS = 40;

    /** Time in ms that work waits for free capacity on a busy day. */
    private static final long CAPACITY_WAIT_MS = 2500;

    private static final Plan NO_VICTIMS = new Plan(List.of(), Set.of(), 0);

    private final CellState state;
    private final RunTracker runTracker;
    private final Map<SchedulingUnit, List<WorkerState>> claimedWorkers = new HashMap<>();

    /** Attempts without a claim, by what was asked for. */
    private final Map<Attempt, Failure> failures = new HashMap<>();

    /** Losses computed since {@link #lossesAtMs}. */
    private final Map<ActiveRun, Double> lossByRun = new HashMap<>();

    /** Choices for one task on each worker, by what was asked for, since {@link #lossesAtMs}. */
    private final Map<Attempt, Map<WorkerState, Choice>> choicesByAttempt = new HashMap<>();

    private long lossesAtMs;

    /** Jobs inside guarantees in the last pass; they decide which runs may be victims. */
    private Set<JobState> guaranteedJobs = Set.of();

    /** Number of claims in this pass for units that had none. */
    private int newClaims;

    Preemptor(CellState state, RunTracker runTracker) {
        this.state = state;
        this.runTracker = runTracker;
    }

    /** A unit that claims capacity, and the rules for its victims. */
    private record Claim(SchedulingUnit unit, UnitShape shape, Placer placer, Set<JobState> guaranteedJobs) {

        boolean insideGuarantee() {
            return guaranteedJobs.contains(unit.job());
        }

        Attempt attempt() {
            return new Attempt(shape, insideGuarantee());
        }

        boolean mayPreempt(ActiveRun run) {
            return !guaranteedJobs.contains(run.job)
                    && (insideGuarantee() || run.job.submission().rules().priority() > 0);
        }
    }

    /** What an attempt asks for; units that ask for the same fail alike. */
    private record Attempt(UnitShape shape, boolean insideGuarantee) {}

    /** The victims on a worker, if any suffice, with what they depend on. */
    private record Choice(Resources free, int runChanges, Optional<VictimSet> victims) {}

    /** A failed attempt; {@code gain} is the highest gain for which too much would have been lost. */
    private record Failure(long atMs, double gain) {}

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

    /**
     * Claims capacity for all tasks of the unit and stops the victims; returns false if nothing was claimed. An attempt
     * is skipped if a unit of the same shape, which had as much to gain, has just failed.
     */
    boolean claim(SchedulingUnit unit, UnitShape shape, Placer placer, long nowMs) {
        Claim claim = new Claim(unit, shape, placer, guaranteedJobs);
        double gain = claim.insideGuarantee() ? Double.MAX_VALUE : gain(unit, nowMs);
        if (gain < MIN_GAIN) {
            return false;
        }
        Failure failure = failures.get(claim.attempt());
        boolean holdsClaim = claimedWorkers.containsKey(unit);
        if (!holdsClaim && failure != null && gain <= failure.gain()) {
            return false;
        }
        Optional<Plan> plan = findPlan(claim, nowMs)
                .filter(found -> claim.insideGuarantee() || found.loss() * MIN_GAIN_RATIO <= gain);
        if (plan.isEmpty()) {
            failures.put(claim.attempt(), new Failure(nowMs, gain));
            logFailure(claim);
            return false;
        }
        // The victims may leave capacity for others of the shapes that have failed.
        failures.clear();
        newClaims += holdsClaim ? 0 : 1;
        claimedWorkers.put(unit, List.copyOf(new LinkedHashSet<>(plan.get().workers())));
        plan.get().workers().forEach(worker -> placer.deduct(worker, unit.spec().perTask()));
        plan.get().victims().forEach(victim -> runTracker.stop(victim, "reclaimed", nowMs));
        return true;
    }

    private Optional<Plan> findPlan(Claim claim, long nowMs) {
        SchedulingUnit unit = claim.unit();
        Optional<Plan> plan = planOnClaimedWorkers(claim, nowMs);
        if (plan.isEmpty() && unit.rackBound()) {
            plan = claim.placer().racks().stream()
                    .map(rack -> plan(claim, rack, nowMs))
                    .flatMap(Optional::stream)
                    .min(Comparator.comparingDouble(Plan::loss));
        }
        return plan.isEmpty() ? plan(claim, claim.placer().usable(), nowMs) : plan;
    }

    private void logFailure(Claim claim) {
        if (claim.insideGuarantee()) {
            state.log.line(
                    "reclaim-failed",
                    "request",
                    claim.unit().job().submission().id(),
                    "step",
                    claim.unit().step(),
                    "usableWorkers",
                    claim.placer().usable().size());
        }
    }

    /** Plans on the workers of the unit's earlier claim; other workers would mean additional victims. */
    private Optional<Plan> planOnClaimedWorkers(Claim claim, long nowMs) {
        List<WorkerState> claimed = claimedWorkers.getOrDefault(claim.unit(), List.of()).stream()
                .filter(claim.placer().usable()::contains)
                .toList();
        return claimed.isEmpty() ? Optional.empty() : plan(claim, claimed, nowMs);
    }

    /** Returns the number of units that have got a claim in this pass and had none before. */
    int newClaims() {
        return newClaims;
    }

    /** Removes the claim of a unit that was placed. */
    void removeClaim(SchedulingUnit unit) {
        claimedWorkers.remove(unit);
    }

    /** Starts a pass: removes the claims of units that no longer wait, and what no longer stands. */
    void startPass(Stream<SchedulingUnit> waiting, Set<JobState> guaranteed, long nowMs) {
        newClaims = 0;
        if (!guaranteed.equals(guaranteedJobs)) {
            guaranteedJobs = guaranteed;
            choicesByAttempt.clear();
            failures.clear();
        }
        if (nowMs - lossesAtMs >= VALID_MS) {
            lossesAtMs = nowMs;
            lossByRun.clear();
            choicesByAttempt.clear();
        }
        failures.values().removeIf(failure -> nowMs - failure.atMs() >= VALID_MS);
        if (!claimedWorkers.isEmpty()) {
            claimedWorkers.keySet().retainAll(waiting.collect(Collectors.toSet()));
        }
    }

    /** Returns the plan with the least loss from victims and slow workers; a gang is as slow as its slowest member. */
    private Optional<Plan> plan(Claim claim, List<WorkerState> workers, long nowMs) {
        SchedulingUnit unit = claim.unit();
        double referenceRunMs = state.predictor.referenceRunMs(unit.job(), unit.spec());
        double factor = state.predictor.correctionFactor(unit.job());
        Map<WorkerState, Choice> known = choicesByAttempt.computeIfAbsent(claim.attempt(), added -> new HashMap<>());
        Map<WorkerState, Double> runMs = new HashMap<>();
        List<VictimSet> choices = new ArrayList<>();
        for (WorkerState worker : workers) {
            if (Placer.eligible(worker, unit)) {
                choice(claim, worker, known, nowMs).victims().ifPresent(choices::add);
                runMs.put(worker, state.predictor.runMs(unit.spec(), worker, state.settings.remoteFactor(), factor));
            }
        }
        Optional<Plan> best = Optional.empty();
        int planned = -1;
        for (double limit : RUN_TIME_LIMITS) {
            List<VictimSet> allowed = choices.stream()
                    .filter(choice -> runMs.get(choice.worker()) <= limit * referenceRunMs)
                    .toList();
            // The same workers as for the limit before give the same plan.
            if (allowed.size() == planned) {
                continue;
            }
            planned = allowed.size();
            Optional<Plan> found = selectVictims(claim, allowed, nowMs)
                    .map(plan -> plan.withLoss(plan.loss()
                            + slowWorkerLoss(
                                    unit,
                                    plan.workers().stream()
                                            .mapToDouble(runMs::get)
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

    /** Returns the choice for one task on a worker, computed again if its free capacity or its runs have changed. */
    private Choice choice(Claim claim, WorkerState worker, Map<WorkerState, Choice> known, long nowMs) {
        Resources free = claim.placer().free(worker);
        Choice choice = known.get(worker);
        if (choice == null
                || choice.runChanges() != worker.runChanges()
                || !choice.free().equals(free)) {
            choice = new Choice(free, worker.runChanges(), selectVictims(claim, worker, free, NO_VICTIMS, nowMs));
            known.put(worker, choice);
        }
        return choice;
    }

    /** Selects victims for one task after the other; a choice changes only that of its worker and of broken gangs. */
    private Optional<Plan> selectVictims(Claim claim, List<VictimSet> choices, long nowMs) {
        Resources need = claim.unit().spec().perTask();
        Map<WorkerState, Resources> claimed = new HashMap<>();
        Plan plan = new Plan(new ArrayList<>(), new LinkedHashSet<>(), 0);
        List<VictimSet> remaining = new ArrayList<>(choices);
        for (int left = claim.unit().indexes().size(); left > 0; left--) {
            Optional<VictimSet> best =
                    remaining.stream().filter(Objects::nonNull).min(Comparator.comparingDouble(VictimSet::loss));
            if (best.isEmpty()) {
                return Optional.empty();
            }
            VictimSet victimSet = best.get();
            claimed.merge(victimSet.worker(), need, Resources::plus);
            plan.workers().add(victimSet.worker());
            plan.victims().addAll(victimSet.victims());
            plan = plan.withLoss(plan.loss() + victimSet.loss());
            if (left > 1) {
                chooseAgain(claim, remaining, victimSet, claimed, plan, nowMs);
            }
        }
        return Optional.of(plan);
    }

    /** Replaces the choices that the last one has changed; null for a worker without one. */
    private void chooseAgain(
            Claim claim,
            List<VictimSet> choices,
            VictimSet last,
            Map<WorkerState, Resources> claimed,
            Plan plan,
            long nowMs) {
        Set<WorkerState> changed = new HashSet<>();
        changed.add(last.worker());
        for (ActiveRun victim : last.victims()) {
            if (victim.step().gang()) {
                members(victim).forEach(member -> changed.add(member.worker));
            }
        }
        choices.replaceAll(choice -> {
            if (choice == null || !changed.contains(choice.worker())) {
                return choice;
            }
            Resources free =
                    claim.placer().free(choice.worker()).minus(claimed.getOrDefault(choice.worker(), Resources.NONE));
            return selectVictims(claim, choice.worker(), free, plan, nowMs).orElse(null);
        });
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
     * number, so that the same task is not preempted repeatedly. Computed at most once per run in {@link #VALID_MS}.
     */
    private double loss(ActiveRun run, long nowMs) {
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

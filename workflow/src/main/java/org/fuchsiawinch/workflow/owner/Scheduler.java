package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskRun;

/**
 * Selects the units to start next and places them. Units inside a guarantee come first and may preempt other work; the
 * rest is ordered by the utility that a delay costs per core-second of work. Not thread-safe.
 */
final class Scheduler {

    /** Share of its objective after which a waiting large unit counts as starved. */
    private static final double STARVED_SHARE = 0.4;

    /** Delay in ms whose cost determines the order of units. */
    private static final double DELAY_MS = 2000;

    /**
     * Weight with which the utility after the delay is subtracted from that without it; below 1, so that a unit that
     * loses nothing by the delay still has a positive density.
     */
    private static final double DELAYED_UTILITY_WEIGHT = 0.5;

    /** Maximum number of tasks assigned and capacity claimed in one pass; the next one follows soon. */
    private static final int MAX_WORK_PER_PASS = 60;

    private final CellState state;
    private final Preemptor preemptor;
    private final PreferenceWaiver waiver;

    Scheduler(CellState state, RunTracker runTracker) {
        this.state = state;
        this.preemptor = new Preemptor(state, runTracker);
        this.waiver = new PreferenceWaiver(state);
    }

    /**
     * The ready units of a step with their sort criteria.
     *
     * @param units the units, at least one; they differ only in the indexes of their tasks
     * @param shape requirements of each unit
     * @param guaranteed whether their job is inside a guarantee
     * @param standing predicted end of their job
     * @param density cost of a delay per core-second of the job's work
     * @param ageMs age of the job in ms
     * @param first whether they go before other units of the same density
     */
    private record Candidate(
            List<SchedulingUnit> units,
            UnitShape shape,
            boolean guaranteed,
            JobUtility.Standing standing,
            double density,
            long ageMs,
            boolean first) {

        SchedulingUnit unit() {
            return units.get(0);
        }

        int priority() {
            return unit().job().submission().rules().priority();
        }

        /** Returns whether these are large units that have waited too long for less urgent work to go first. */
        boolean starved(int largestWorkerAccelerators) {
            return unit().large(largestWorkerAccelerators)
                    && ageMs >= STARVED_SHARE * JobUtility.objectiveMs(unit().job())
                    && standing != JobUtility.Standing.HOPELESS;
        }

        /** Returns the first unit as a candidate that goes before all others of the given density. */
        Candidate firstMovedUp(double newDensity) {
            return new Candidate(units.subList(0, 1), shape, guaranteed, standing, newDensity, ageMs, true);
        }

        /** Returns the other units. */
        Candidate withoutFirst() {
            return new Candidate(units.subList(1, units.size()), shape, guaranteed, standing, density, ageMs, first);
        }

        /** Returns whether the units may preempt other work. */
        boolean mayPreempt() {
            return guaranteed || unit().urgent();
        }
    }

    /**
     * Runs one scheduling pass: assigns each unit that can be placed, and claims or reserves capacity for the others.
     * After a unit could not be placed, units of the same shape are not placed in this pass.
     *
     * @return whether all units were considered; false if another pass is due because this one has assigned enough
     */
    boolean schedule(long nowMs) {
        state.log.count("scheduling.passes");
        Set<JobState> guaranteed = guaranteedJobs();
        List<Candidate> candidates = candidates(guaranteed, nowMs);
        preemptor.startPass(candidates.stream().flatMap(candidate -> candidate.units().stream()), guaranteed, nowMs);
        if (candidates.isEmpty()) {
            waiver.clear();
            return true;
        }
        Pass pass = new Pass(new Placer(state, nowMs), nowMs);
        for (Candidate candidate : candidates) {
            if (candidate.guaranteed() && !pass.schedule(candidate)) {
                return false;
            }
        }
        pass.scheduleStanding(candidates);
        for (Candidate candidate : candidates) {
            if (!candidate.guaranteed() && !pass.schedule(candidate)) {
                return false;
            }
        }
        return true;
    }

    /** One pass, with the shapes that have failed in it. */
    private final class Pass {

        private final Placer placer;
        private final long nowMs;
        private final Set<UnitShape> unplaceable = new HashSet<>();
        private final Set<UnitShape> unreservable = new HashSet<>();

        /** Units of jobs that had stood for too long, which this pass has placed. */
        private final Set<SchedulingUnit> standing = new HashSet<>();

        private int starts;

        private Pass(Placer placer, long nowMs) {
            this.placer = placer;
            this.nowMs = nowMs;
        }

        /**
         * Places a unit of each job that has stood for too long, if need be with preferences waived, before work that
         * is more urgent takes the capacity again.
         */
        private void scheduleStanding(List<Candidate> candidates) {
            if (!waiver.lookDue(nowMs)) {
                return;
            }
            Map<JobState, List<Candidate>> candidatesByJob = candidates.stream()
                    .collect(Collectors.groupingBy(
                            candidate -> candidate.unit().job(), LinkedHashMap::new, Collectors.toList()));
            List<JobState> due = waiver.due(candidatesByJob.keySet(), placer, nowMs);
            for (JobState job : due) {
                if (starts >= MAX_WORK_PER_PASS) {
                    return;
                }
                if (candidatesByJob.get(job).stream().noneMatch(this::placeStanding)) {
                    waiver.failed(job, nowMs);
                }
            }
        }

        private boolean placeStanding(Candidate candidate) {
            SchedulingUnit unit = candidate.unit();
            if (!unit.ready()) {
                return true;
            }
            boolean found = waiver.mayWaive(unit, placer)
                    && (place(unit, candidate, Set.of())
                            || waiver.waivers(unit.job()).stream().anyMatch(waived -> place(unit, candidate, waived)));
            if (found) {
                standing.add(unit);
            }
            return found;
        }

        private boolean placedStanding(SchedulingUnit unit) {
            return !standing.isEmpty() && standing.contains(unit);
        }

        /** Schedules the units of a candidate; returns false if the pass has assigned enough. */
        private boolean schedule(Candidate candidate) {
            boolean placeable = !unplaceable.contains(candidate.shape());
            boolean reservable =
                    candidate.standing() != JobUtility.Standing.HOPELESS && !unreservable.contains(candidate.shape());
            for (SchedulingUnit unit : candidate.units()) {
                if (starts + preemptor.newClaims() >= MAX_WORK_PER_PASS) {
                    return false;
                }
                if (placedStanding(unit) || placeable && place(unit, candidate, Set.of())) {
                    continue;
                }
                placeable = false;
                if (unit.spec().maxPerWorker() == 0 || !state.runIndex.anyRun(unit.job(), run -> true)) {
                    unplaceable.add(candidate.shape());
                }
                boolean claimed = candidate.mayPreempt() && preemptor.claim(unit, candidate.shape(), placer, nowMs);
                if (!claimed && reservable && !placer.reserve(unit)) {
                    reservable = false;
                    unreservable.add(candidate.shape());
                }
                if (!candidate.mayPreempt() && !reservable) {
                    break;
                }
            }
            return true;
        }

        private boolean place(SchedulingUnit unit, Candidate candidate, Set<Placer.Preference> waived) {
            Optional<List<WorkerState>> workers = placer.place(unit, waived);
            workers.ifPresent(chosen -> {
                preemptor.removeClaim(unit);
                assign(unit, chosen, candidate, waived, nowMs);
                starts += chosen.size();
            });
            return workers.isPresent();
        }
    }

    /** Returns the jobs of priority 0 that fit into their workspace's guarantee, filled in order of acceptance. */
    private Set<JobState> guaranteedJobs() {
        Set<JobState> chosen = new HashSet<>();
        Map<WorkspaceId, Long> used = new HashMap<>();
        for (JobState job : state.openJobs.values()) {
            if (job.submission().rules().priority() != 0 || job.phase().ended()) {
                continue;
            }
            WorkspaceId workspace = job.submission().workspace();
            long after = used.getOrDefault(workspace, 0L) + job.peakAccelerators();
            if (after <= state.guarantees.of(workspace)) {
                used.put(workspace, after);
                chosen.add(job);
            }
        }
        return chosen;
    }

    private List<Candidate> candidates(Set<JobState> guaranteed, long nowMs) {
        List<Candidate> found = new ArrayList<>();
        for (JobState job : state.openJobs.values()) {
            if (job.phase().ended()) {
                continue;
            }
            long ageMs = Math.max(0, nowMs - job.submission().acceptedAtMs());
            for (int step = 0; step < job.submission().steps().size(); step++) {
                addUnits(job, step, ageMs, guaranteed.contains(job), found);
            }
        }
        sort(found);
        return found;
    }

    /**
     * Sorts units inside guarantees first, then by the cost of waiting per core-second of work. The unit that has been
     * starved for longest goes before all units that are no more urgent.
     */
    private void sort(List<Candidate> found) {
        int largestWorkerAccelerators = state.largestWorkerAccelerators();
        int starved = -1;
        for (int i = 0; i < found.size(); i++) {
            boolean longest =
                    starved < 0 || found.get(i).ageMs() > found.get(starved).ageMs();
            if (longest && found.get(i).starved(largestWorkerAccelerators)) {
                starved = i;
            }
        }
        if (starved >= 0) {
            Candidate large = found.get(starved);
            found.set(starved, large.firstMovedUp(maxDensity(found, large.priority())));
            if (large.units().size() > 1) {
                found.add(starved + 1, large.withoutFirst());
            }
        }
        found.sort(Comparator.comparing((Candidate candidate) -> !candidate.guaranteed())
                .thenComparing(Comparator.comparingDouble(Candidate::density).reversed())
                .thenComparing(candidate -> !candidate.first()));
    }

    private static double maxDensity(List<Candidate> found, int priority) {
        return found.stream()
                .filter(candidate -> candidate.priority() >= priority)
                .mapToDouble(Candidate::density)
                .max()
                .orElse(0);
    }

    private void addUnits(JobState job, int step, long ageMs, boolean guaranteed, List<Candidate> found) {
        StepSpec spec = job.submission().steps().get(step);
        if (job.tasks(step).stream().noneMatch(task -> task.phase() == TaskPhase.WAITING)
                || !job.dependenciesDone(step)) {
            return;
        }
        JobUtility.CompletionForecast forecast =
                state.predictor.completionForecast(job, step, ageMs, state.predictor.referenceRunMs(job, spec));
        JobUtility.Standing standing = JobUtility.standing(job.submission(), forecast);
        double coreSeconds =
                Math.max(1e-3, JobUtility.coreSeconds(job.submission()) * state.predictor.correctionFactor(job));
        double density = (state.utility.expected(job.submission(), forecast)
                        - DELAYED_UTILITY_WEIGHT
                                * state.utility.expected(job.submission(), forecast.delayedBy(DELAY_MS)))
                / coreSeconds;
        List<SchedulingUnit> units = readyUnits(job, step, spec);
        if (!units.isEmpty()) {
            found.add(new Candidate(units, UnitShape.of(job, spec), guaranteed, standing, density, ageMs, false));
        }
    }

    /** Returns a unit of a job that could start now; empty if none is ready. */
    Optional<SchedulingUnit> readyUnit(JobState job) {
        for (int step = 0; step < job.submission().steps().size(); step++) {
            if (job.dependenciesDone(step)) {
                List<SchedulingUnit> units =
                        readyUnits(job, step, job.submission().steps().get(step));
                if (!units.isEmpty()) {
                    return Optional.of(units.get(0));
                }
            }
        }
        return Optional.empty();
    }

    private List<SchedulingUnit> readyUnits(JobState job, int step, StepSpec spec) {
        if (spec.gang()) {
            return Optional.of(SchedulingUnit.gang(job, step)).filter(this::ready).stream()
                    .toList();
        }
        List<SchedulingUnit> units = new ArrayList<>();
        for (int index = 0; index < spec.count(); index++) {
            if (job.tasks(step).get(index).phase() == TaskPhase.WAITING) {
                SchedulingUnit unit = SchedulingUnit.task(job, step, index);
                if (ready(unit)) {
                    units.add(unit);
                }
            }
        }
        return units;
    }

    /** Returns whether all tasks of a unit are waiting and none has a run that is still being stopped. */
    private boolean ready(SchedulingUnit unit) {
        return unit.ready() && unit.indexes().stream().noneMatch(index -> state.runIndex.holds(unit.ref(index)));
    }

    private void assign(
            SchedulingUnit unit,
            List<WorkerState> workers,
            Candidate candidate,
            Set<Placer.Preference> waived,
            long nowMs) {
        int number = unit.nextRun();
        String lastWaived = waived.stream()
                .max(Comparator.naturalOrder())
                .map(Placer.Preference::toString)
                .orElse("none");
        long racks = workers.stream()
                .map(worker -> worker.registration.rack())
                .distinct()
                .count();
        for (int i = 0; i < workers.size(); i++) {
            WorkerState worker = workers.get(i);
            int index = unit.indexes().get(i);
            unit.state(index).assign(number, worker.id);
            ActiveRun run =
                    new ActiveRun(new TaskRun(unit.ref(index), number), unit.job(), worker, ActiveRun.Stage.STORING);
            run.remote = unit.spec().sameRack() && racks > 1
                    || unit.spec()
                            .dataRack()
                            .filter(rack -> !rack.equals(worker.registration.rack()))
                            .isPresent();
            worker.add(run);
            state.pendingStarts.add(run);
            logAssignment(run, candidate, lastWaived, nowMs);
        }
        state.changedJobs.add(unit.job());
    }

    private void logAssignment(ActiveRun run, Candidate candidate, String lastWaived, long nowMs) {
        Resources free = run.worker.free();
        state.log.line(
                "run-assigned",
                "request",
                run.id.task().job(),
                "run",
                run.id,
                "worker",
                run.worker.id,
                "standing",
                candidate.guaranteed() ? "GUARANTEED" : candidate.standing(),
                "workerSpeed",
                Math.round(run.worker.health.speed() * 100) / 100.0,
                "workerSeenMsAgo",
                nowMs - run.worker.lastContactMs,
                "freeAccelerators",
                free.accelerators(),
                "waived",
                lastWaived);
    }
}

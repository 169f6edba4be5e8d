package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
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

    private final CellState state;
    private final Preemptor preemptor;

    Scheduler(CellState state, RunTracker runTracker) {
        this.state = state;
        this.preemptor = new Preemptor(state, runTracker);
    }

    /** A unit with its sort criteria; {@code density} is the cost of a delay per core-second of the job's work. */
    private record Candidate(
            SchedulingUnit unit, boolean guaranteed, JobUtility.Standing standing, double density, long ageMs) {

        int priority() {
            return unit.job().submission().rules().priority();
        }

        /** Returns whether this is a large unit that has waited too long for less urgent work to go first. */
        boolean starved(int largestWorkerAccelerators) {
            return unit.large(largestWorkerAccelerators)
                    && ageMs >= STARVED_SHARE * JobUtility.objectiveMs(unit.job())
                    && standing != JobUtility.Standing.HOPELESS;
        }

        /** Returns whether the unit may preempt other work. */
        boolean mayPreempt() {
            return guaranteed || unit.urgent();
        }
    }

    /**
     * Runs one scheduling pass: assigns each unit that can be placed, and claims or reserves capacity for the others.
     * After a unit could not be placed, units of the same shape are not placed in this pass.
     */
    void schedule(long nowMs) {
        Set<JobState> guaranteed = guaranteedJobs();
        List<Candidate> candidates = candidates(guaranteed, nowMs);
        preemptor.retainClaims(candidates.stream().map(Candidate::unit).collect(Collectors.toSet()));
        if (candidates.isEmpty()) {
            return;
        }
        Placer placer = new Placer(state, nowMs);
        Set<String> unplaceableShapes = new HashSet<>();
        for (Candidate candidate : candidates) {
            SchedulingUnit unit = candidate.unit();
            String shape = shape(unit);
            Optional<List<WorkerState>> workers =
                    unplaceableShapes.contains(shape) ? Optional.empty() : placer.place(unit);
            if (workers.isPresent()) {
                preemptor.removeClaim(unit);
                assign(unit, workers.get(), candidate, nowMs);
                continue;
            }
            unplaceableShapes.add(shape);
            boolean claimed = candidate.mayPreempt() && preemptor.claim(unit, placer, guaranteed, nowMs);
            if (!claimed && candidate.standing() != JobUtility.Standing.HOPELESS) {
                placer.reserve(unit);
            }
        }
    }

    /** Returns a key of the requirements of a unit's placement, equal for units of the same shape. */
    private static String shape(SchedulingUnit unit) {
        StepSpec step = unit.spec();
        return unit.indexes().size() + "x" + step.perTask() + step.sameRack() + step.requiredLabel()
                + step.maxPerWorker() + unit.job().submission().service();
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
            long after = used.getOrDefault(workspace, 0L) + job.submission().peakAccelerators();
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
        Optional<Candidate> starved = found.stream()
                .filter(candidate -> candidate.starved(largestWorkerAccelerators))
                .max(Comparator.comparingLong(Candidate::ageMs));
        ToDoubleFunction<Candidate> density = candidate -> starved.filter(candidate::equals)
                .map(large -> maxDensity(found, large.priority()))
                .orElse(candidate.density());
        found.sort(Comparator.comparing((Candidate candidate) -> !candidate.guaranteed())
                .thenComparing(Comparator.comparingDouble(density).reversed())
                .thenComparing(candidate -> starved.filter(candidate::equals).isEmpty()));
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
        if (spec.gang()) {
            SchedulingUnit unit = SchedulingUnit.gang(job, step);
            if (ready(unit)) {
                found.add(new Candidate(unit, guaranteed, standing, density, ageMs));
            }
            return;
        }
        for (int index = 0; index < spec.count(); index++) {
            SchedulingUnit unit = SchedulingUnit.task(job, step, index);
            if (ready(unit)) {
                found.add(new Candidate(unit, guaranteed, standing, density, ageMs));
            }
        }
    }

    /** Returns whether all tasks of a unit are waiting and none has a run that is still being stopped. */
    private boolean ready(SchedulingUnit unit) {
        return unit.ready()
                && unit.indexes().stream().noneMatch(index -> state.runIndex.holds(unit.job(), unit.ref(index)));
    }

    private void assign(SchedulingUnit unit, List<WorkerState> workers, Candidate candidate, long nowMs) {
        int number = unit.nextRun();
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
            logAssignment(run, candidate, nowMs);
        }
        unit.job().markActive();
        state.changedJobs.add(unit.job());
    }

    private void logAssignment(ActiveRun run, Candidate candidate, long nowMs) {
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
                free.accelerators());
    }
}

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
final class Scheduling {

    /** Share of its objective after which a waiting large unit counts as starved. */
    private static final double STARVED_SHARE = 0.4;

    /** Delay in ms whose cost determines the order of units. */
    private static final double DELAY_MS = 2000;

    /** Share of the utility after the delay that is subtracted; below 1, so that work without urgency also ranks. */
    private static final double KEPT_SHARE = 0.5;

    private final CellState state;
    private final Reclaim reclaim;

    Scheduling(CellState state, Runs runs) {
        this.state = state;
        this.reclaim = new Reclaim(state, runs);
    }

    /** A unit with its sort criteria. */
    private record Candidate(Unit unit, boolean guaranteed, JobWorth.Standing standing, double density, long ageMs) {

        int priority() {
            return unit.job().submission().rules().priority();
        }

        /** Returns whether this is a large unit that has waited too long for less urgent work to go first. */
        boolean starved(int largestWorker) {
            return unit.large(largestWorker)
                    && ageMs >= STARVED_SHARE * JobWorth.objectiveMs(unit.job().submission())
                    && standing != JobWorth.Standing.HOPELESS;
        }

        /** Returns whether the unit may preempt other work. */
        boolean mayClaim() {
            return guaranteed || unit.urgent();
        }
    }

    void run(long nowMs) {
        Set<JobState> guaranteed = guaranteed();
        List<Candidate> candidates = candidates(guaranteed, nowMs);
        reclaim.retain(candidates.stream().map(Candidate::unit).collect(Collectors.toSet()));
        if (candidates.isEmpty()) {
            return;
        }
        Placer placer = new Placer(state, nowMs);
        Set<String> misfits = new HashSet<>();
        for (Candidate candidate : candidates) {
            Unit unit = candidate.unit();
            String shape = shape(unit);
            Optional<List<WorkerState>> workers = misfits.contains(shape) ? Optional.empty() : placer.place(unit);
            if (workers.isPresent()) {
                reclaim.settled(unit);
                assign(unit, workers.get(), candidate, nowMs);
                continue;
            }
            misfits.add(shape);
            boolean claimed = candidate.mayClaim() && reclaim.claim(unit, placer, guaranteed, nowMs);
            if (!claimed && candidate.standing() != JobWorth.Standing.HOPELESS) {
                placer.reserve(unit);
            }
        }
    }

    private static String shape(Unit unit) {
        StepSpec step = unit.spec();
        return unit.indexes().size() + "x" + step.perTask() + step.sameRack() + step.requiredLabel()
                + step.maxPerWorker() + unit.job().submission().service();
    }

    /** Returns the jobs of priority 0 that fit into their workspace's guarantee, filled in order of acceptance. */
    private Set<JobState> guaranteed() {
        Set<JobState> chosen = new HashSet<>();
        Map<WorkspaceId, Integer> used = new HashMap<>();
        for (JobState job : state.open.values()) {
            if (job.submission().rules().priority() != 0 || job.phase().ended()) {
                continue;
            }
            WorkspaceId workspace = job.submission().workspace();
            int after = used.getOrDefault(workspace, 0) + job.submission().peakAccelerators();
            if (after <= state.guarantees.of(workspace)) {
                used.put(workspace, after);
                chosen.add(job);
            }
        }
        return chosen;
    }

    private List<Candidate> candidates(Set<JobState> guaranteed, long nowMs) {
        List<Candidate> found = new ArrayList<>();
        for (JobState job : state.open.values()) {
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
        int largestWorker = state.largestWorker();
        Optional<Candidate> starved = found.stream()
                .filter(candidate -> candidate.starved(largestWorker))
                .max(Comparator.comparingLong(Candidate::ageMs));
        ToDoubleFunction<Candidate> density = candidate -> starved.filter(candidate::equals)
                .map(large -> densest(found, large.priority()))
                .orElse(candidate.density());
        found.sort(Comparator.comparing((Candidate candidate) -> !candidate.guaranteed())
                .thenComparing(Comparator.comparingDouble(density).reversed())
                .thenComparing(candidate -> starved.filter(candidate::equals).isEmpty()));
    }

    private static double densest(List<Candidate> found, int priority) {
        return found.stream()
                .filter(candidate -> candidate.priority() >= priority)
                .mapToDouble(Candidate::density)
                .max()
                .orElse(0);
    }

    private void addUnits(JobState job, int step, long ageMs, boolean guaranteed, List<Candidate> found) {
        StepSpec spec = job.submission().steps().get(step);
        if (job.tasks(step).stream().noneMatch(task -> task.phase() == TaskPhase.WAITING) || !job.mayRun(step)) {
            return;
        }
        JobWorth.Prospect prospect = state.forecast.prospect(job, step, ageMs, state.forecast.meanMs(job, spec));
        JobWorth.Standing standing = JobWorth.standing(job.submission(), prospect);
        double work = Math.max(1e-3, JobWorth.work(job.submission()) * state.forecast.correction(job));
        double density = (state.worth.expected(job.submission(), prospect)
                        - KEPT_SHARE * state.worth.expected(job.submission(), prospect.later(DELAY_MS)))
                / work;
        if (spec.gang()) {
            Unit unit = Unit.gang(job, step);
            if (unit.ready()) {
                found.add(new Candidate(unit, guaranteed, standing, density, ageMs));
            }
            return;
        }
        for (int index = 0; index < spec.count(); index++) {
            Unit unit = Unit.task(job, step, index);
            if (unit.ready()) {
                found.add(new Candidate(unit, guaranteed, standing, density, ageMs));
            }
        }
    }

    private void assign(Unit unit, List<WorkerState> workers, Candidate candidate, long nowMs) {
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
                    new ActiveRun(new TaskRun(unit.ref(index), number), unit.job(), worker, ActiveRun.Stage.RECORDING);
            run.remote = unit.spec().sameRack() && racks > 1
                    || unit.spec()
                            .dataRack()
                            .filter(rack -> !rack.equals(worker.registration.rack()))
                            .isPresent();
            worker.add(run);
            state.toStart.add(run);
            logAssignment(run, candidate, nowMs);
        }
        unit.job().begin();
        state.changed.add(unit.job());
    }

    private void logAssignment(ActiveRun run, Candidate candidate, long nowMs) {
        Resources free = run.worker.free();
        state.log.line(
                "run-assigned",
                "request",
                run.run.task().job(),
                "run",
                run.run,
                "worker",
                run.worker.id,
                "standing",
                candidate.guaranteed() ? "GUARANTEED" : candidate.standing(),
                "workerSpeed",
                Math.round(run.worker.health.speed() * 100) / 100.0,
                "workerSeenMsAgo",
                nowMs - run.worker.contactMs,
                "freeAccelerators",
                free.accelerators());
    }
}

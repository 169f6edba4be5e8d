package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
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
 * Chooses what starts next and where. Work inside a guarantee goes first and may reclaim room from other work; the rest
 * follows by what its caller loses for each core-second of waiting. Not thread-safe.
 */
final class Scheduling {

    private final CellState state;
    private final Reclaim reclaim;

    Scheduling(CellState state, Runs runs) {
        this.state = state;
        this.reclaim = new Reclaim(state, runs);
    }

    /** A unit with what decides its place in the order. */
    private record Candidate(Unit unit, boolean guaranteed, JobWorth.Standing standing, double density) {

        /** Work inside a guarantee always gets its room; other urgent work while it can be in time. */
        boolean mayClaim() {
            boolean urgent = unit.job().submission().rules().priority() == 0;
            return guaranteed || urgent && standing == JobWorth.Standing.IN_TIME;
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
            if (candidate.mayClaim()) {
                reclaim.claim(unit, placer, guaranteed, nowMs);
            }
        }
    }

    private static String shape(Unit unit) {
        StepSpec step = unit.spec();
        return unit.indexes().size() + "x" + step.perTask() + step.sameRack() + step.requiredLabel()
                + step.maxPerWorker() + unit.job().submission().service();
    }

    /** Gives the jobs of priority 0 that fit into what is left of their workspace's guarantee, oldest first. */
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
        found.sort(Comparator.comparing((Candidate candidate) -> !candidate.guaranteed())
                .thenComparing(Candidate::standing)
                .thenComparing(Comparator.comparingDouble(Candidate::density).reversed()));
        return found;
    }

    private void addUnits(JobState job, int step, long ageMs, boolean guaranteed, List<Candidate> found) {
        StepSpec spec = job.submission().steps().get(step);
        if (job.tasks(step).stream().noneMatch(task -> task.phase() == TaskPhase.WAITING) || !job.mayRun(step)) {
            return;
        }
        JobWorth.Standing standing = JobWorth.standing(job, spec.estimatedMs(), ageMs);
        double density = state.worth.density(job.submission());
        if (spec.gang()) {
            Unit unit = Unit.gang(job, step);
            if (unit.ready()) {
                found.add(new Candidate(unit, guaranteed, standing, density));
            }
            return;
        }
        for (int index = 0; index < spec.count(); index++) {
            Unit unit = Unit.task(job, step, index);
            if (unit.ready()) {
                found.add(new Candidate(unit, guaranteed, standing, density));
            }
        }
    }

    private void assign(Unit unit, List<WorkerState> workers, Candidate candidate, long nowMs) {
        int number = unit.nextRun();
        long racks =
                workers.stream().map(worker -> worker.entry.rack()).distinct().count();
        for (int i = 0; i < workers.size(); i++) {
            WorkerState worker = workers.get(i);
            int index = unit.indexes().get(i);
            unit.state(index).assign(number, worker.id);
            ActiveRun run =
                    new ActiveRun(new TaskRun(unit.ref(index), number), unit.job(), worker, ActiveRun.Stage.RECORDING);
            run.remote = unit.spec().sameRack() && racks > 1
                    || unit.spec()
                            .dataRack()
                            .filter(rack -> !rack.equals(worker.entry.rack()))
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

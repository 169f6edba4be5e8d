package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskState;
import org.fuchsiawinch.workflow.record.CellRecord;

/** Jobs, workers, unstored changes and pending effects, shared by the components of the owner. Not thread-safe. */
final class CellState {

    final OwnerSettings settings;
    final DecisionLog log;
    final Map<String, JobState> jobs = new LinkedHashMap<>();
    final Map<String, JobState> open = new LinkedHashMap<>();
    final Set<String> cancelled = new HashSet<>();
    final Map<WorkerId, WorkerState> workers = new TreeMap<>();
    final Set<JobState> changed = new LinkedHashSet<>();
    final List<ActiveRun> toStart = new ArrayList<>();
    final JobWorth worth = new JobWorth();
    final Forecast forecast = new Forecast();
    Guarantees guarantees = Guarantees.NONE;
    List<OwnerEffect> effects = new ArrayList<>();

    CellState(OwnerSettings settings, DecisionLog log) {
        this.settings = settings;
        this.log = log;
    }

    WorkerState worker(WorkerId id, long nowMs) {
        return workers.computeIfAbsent(id, added -> new WorkerState(added, nowMs));
    }

    /** Returns the accelerator count of the largest worker; 0 if there is none. */
    int largestWorker() {
        return workers.values().stream()
                .filter(worker -> worker.registration != null)
                .mapToInt(worker -> worker.registration.capacity().accelerators())
                .max()
                .orElse(0);
    }

    void accept(JobState job) {
        String id = job.submission().id();
        if (jobs.putIfAbsent(id, job) == null) {
            open.put(id, job);
            worth.accepted(job.submission());
        }
    }

    void end(JobState job, JobPhase phase, long nowMs) {
        job.end(phase, nowMs);
        changed.add(job);
        log.line(
                "job-ended",
                "request",
                job.submission().id(),
                "outcome",
                phase,
                "ageMs",
                nowMs - job.submission().acceptedAtMs(),
                "objectiveMs",
                JobWorth.objectiveMs(job.submission()));
    }

    /** Removes a job from the open jobs once it has ended and none of its tasks is assigned. */
    void close(JobState job) {
        if (job.phase().ended() && !job.hasAssigned()) {
            open.remove(job.submission().id());
        }
    }

    static CellRecord.Progress progress(JobState job) {
        List<List<CellRecord.TaskProgress>> steps = new ArrayList<>();
        for (int step = 0; step < job.submission().steps().size(); step++) {
            List<CellRecord.TaskProgress> tasks = new ArrayList<>();
            for (TaskState task : job.tasks(step)) {
                boolean kept = task.phase() != TaskPhase.DONE && !job.phase().ended();
                tasks.add(new CellRecord.TaskProgress(
                        task.phase(),
                        task.run(),
                        task.failures(),
                        task.failedRun(),
                        task.worker(),
                        kept ? task.checkpoint() : ""));
            }
            steps.add(tasks);
        }
        return new CellRecord.Progress(
                job.submission().id(), job.submission().queue(), job.phase(), job.endedAtMs(), steps);
    }
}

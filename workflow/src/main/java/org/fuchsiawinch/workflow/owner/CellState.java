package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.HashMap;
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

    /** Jobs that have not ended, or have ended while tasks are still assigned. */
    final Map<String, JobState> openJobs = new LinkedHashMap<>();

    /** Ids of jobs with an accepted cancellation. */
    final Set<String> cancelled = new HashSet<>();

    /** Cancellations by job id, of jobs whose acceptance has not been read. */
    final Map<String, EarlyCancellation> earlyCancellations = new HashMap<>();

    final Map<WorkerId, WorkerState> workers = new TreeMap<>();
    final RunIndex runIndex = new RunIndex();

    /** Jobs whose progress is to be stored with the next append. */
    final Set<JobState> changedJobs = new LinkedHashSet<>();

    /** Jobs that have begun, which is stored with the next append; at the latest with the next heartbeat. */
    final Set<JobState> begunJobs = new LinkedHashSet<>();

    /** Runs whose assignments are to be stored with the next append. */
    final List<ActiveRun> pendingStarts = new ArrayList<>();

    final JobUtility utility = new JobUtility();
    final RunTimePredictor predictor = new RunTimePredictor();
    final RunTimeObserver runTimes = new RunTimeObserver(this);
    final DuplicateRuns duplicateRuns = new DuplicateRuns(this);
    Guarantees guarantees = Guarantees.NONE;
    final DrainedWorkers drainedWorkers;

    /** Time in ms at which the last append that the store has confirmed was sent; at first that of the claim. */
    long lastStoredMs;

    final OwnershipTerm term = new OwnershipTerm();

    List<OwnerEffect> effects = new ArrayList<>();

    /** A time in ms before all others; half the minimum, so that differences do not overflow. */
    static final long NEVER_MS = Long.MIN_VALUE / 2;

    /** A cancellation and the time in ms at which this owner read it. */
    record EarlyCancellation(CellRecord.CancelRequested request, long readAtMs) {}

    CellState(OwnerSettings settings, DecisionLog log) {
        this.settings = settings;
        this.log = log;
        this.drainedWorkers = new DrainedWorkers(this);
    }

    WorkerState worker(WorkerId id, long nowMs) {
        return workers.computeIfAbsent(id, added -> new WorkerState(added, runIndex, nowMs));
    }

    /**
     * Returns whether this owner may grant leases. Another owner may have taken over if the store is silent for longer,
     * and one that does not reach a worker waits only for leases granted before. The silence counts from the sending of
     * an append, since the answer may have waited while this process was paused.
     */
    boolean mayGrantLeases(long nowMs) {
        return nowMs - lastStoredMs <= OwnerSettings.MAX_STORE_SILENCE_MS;
    }

    /**
     * Returns whether this owner may order starts. Beside another owner, a start may run a task twice, as a worker
     * that has restarted knows no epoch; with old drain requests, a start may reach a drained data centre.
     */
    boolean mayOrderStarts(long nowMs) {
        return term.certain(nowMs) && mayGrantLeases(nowMs) && drainedWorkers.known(nowMs);
    }

    /** Forbids leases and starts until the store confirms another append. */
    void forbidOrders() {
        lastStoredMs = NEVER_MS;
        term.end();
    }

    /** Returns the accelerator count of the largest worker; 0 if there is none. */
    int largestWorkerAccelerators() {
        return workers.values().stream()
                .filter(worker -> worker.registration != null)
                .mapToInt(worker -> worker.registration.capacity().accelerators())
                .max()
                .orElse(0);
    }

    void accept(JobState job) {
        String id = job.submission().id();
        if (jobs.putIfAbsent(id, job) == null) {
            openJobs.put(id, job);
            utility.updateMeanSize(job.submission());
        }
    }

    void endJob(JobState job, JobPhase phase, long nowMs) {
        job.end(phase, nowMs);
        changedJobs.add(job);
        log.line(
                "job-ended",
                "request",
                job.submission().id(),
                "workspace",
                job.submission().workspace().value(),
                "queue",
                job.submission().queue(),
                "outcome",
                phase,
                "ageMs",
                nowMs - job.submission().acceptedAtMs(),
                "objectiveMs",
                JobUtility.objectiveMs(job));
    }

    /** Removes a job from the open jobs once it has ended and none of its tasks is assigned. */
    void closeIfDone(JobState job) {
        if (job.phase().ended() && !job.hasAssignedTasks()) {
            openJobs.remove(job.submission().id());
        }
    }

    static CellRecord.Progress progressRecord(JobState job) {
        List<List<CellRecord.TaskProgress>> steps = new ArrayList<>();
        for (int step = 0; step < job.submission().steps().size(); step++) {
            List<CellRecord.TaskProgress> tasks = new ArrayList<>();
            for (TaskState task : job.tasks(step)) {
                boolean keepCheckpoint =
                        task.phase() != TaskPhase.DONE && !job.phase().ended();
                tasks.add(new CellRecord.TaskProgress(
                        task.phase(),
                        task.run(),
                        task.failures(),
                        task.lastFailedRun(),
                        task.worker(),
                        keepCheckpoint ? task.checkpoint() : ""));
            }
            steps.add(tasks);
        }
        return new CellRecord.Progress(
                job.submission().id(), job.submission().queue(), job.phase(), job.endedAtMs(), steps);
    }
}

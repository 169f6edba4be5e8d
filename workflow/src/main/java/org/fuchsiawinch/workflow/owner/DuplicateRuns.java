package org.fuchsiawinch.workflow.owner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.job.TaskState;

/**
 * Logs tasks that ran twice: a worker reports that a run is running or done, and its task is assigned to another run or
 * was done by another one. Decides nothing. Not thread-safe.
 */
final class DuplicateRuns {

    /** A run and its worker; empty if an earlier owner recorded the end of the task. */
    private record Holder(TaskRun run, Optional<WorkerId> worker) {}

    /** Two runs of a task, the lower number first. */
    private record Pair(TaskRef task, int lower, int higher) {}

    private final CellState state;

    /** The run that has done a task, by job and task. */
    private final Map<String, Map<TaskRef, Holder>> doneBy = new HashMap<>();

    private final Set<Pair> logged = new HashSet<>();

    DuplicateRuns(CellState state) {
        this.state = state;
    }

    /** Records which run has done a task. */
    void taskDone(TaskRun run, Optional<WorkerId> worker) {
        doneBy.computeIfAbsent(run.task().job(), job -> new HashMap<>()).put(run.task(), new Holder(run, worker));
    }

    /** Removes what is known of the tasks of a job. */
    void forget(String job) {
        doneBy.remove(job);
        logged.removeIf(pair -> pair.task().job().equals(job));
    }

    /** Logs a reported run once per pair of runs if it is a duplicate; {@code reported} is RUNNING or DONE. */
    void check(WorkerState worker, TaskRun run, String reported) {
        JobState job = state.jobs.get(run.task().job());
        TaskState task = job == null ? null : job.task(run.task());
        if (task == null || task.phase() == TaskPhase.WAITING) {
            return;
        }
        if (task.phase() == TaskPhase.ASSIGNED && task.run() == run.number()) {
            return;
        }
        Holder other = holder(task, run.task());
        int number = other.run().number();
        if (number == run.number()
                || !logged.add(new Pair(run.task(), Math.min(number, run.number()), Math.max(number, run.number())))) {
            return;
        }
        state.log.count("runs.duplicate");
        state.log.line(
                "duplicate-run",
                "request",
                run.task().job(),
                "run",
                run,
                "worker",
                worker.id,
                "reported",
                reported,
                "otherRun",
                other.run(),
                "otherWorker",
                other.worker().map(WorkerId::toString).orElse("unknown"),
                "otherStage",
                stage(task, other));
    }

    private Holder holder(TaskState task, TaskRef ref) {
        Holder latest = new Holder(new TaskRun(ref, task.run()), task.worker());
        return task.phase() == TaskPhase.DONE
                ? doneBy.getOrDefault(ref.job(), Map.of()).getOrDefault(ref, latest)
                : latest;
    }

    /** Returns DONE, or how far the start of the other run has come. */
    private Object stage(TaskState task, Holder other) {
        if (task.phase() == TaskPhase.DONE) {
            return TaskPhase.DONE;
        }
        return other.worker()
                .map(state.workers::get)
                .map(worker -> worker.runs.get(other.run()))
                .map(run -> run.stage)
                .map(Object.class::cast)
                .orElse("unknown");
    }
}

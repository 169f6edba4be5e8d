package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskRef;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import org.fuchsiawinch.workflow.record.CellRecord;

/**
 * Checks what the workers see: no task runs twice at once or after an acknowledged success, in order of its steps and
 * within its attempts. An end counts as acknowledged unless the worker's lease lapsed between the two.
 */
final class RunRules {

    private final FaultSimulation simulation;
    private final List<Start> starts = new ArrayList<>();
    private final List<End> ends = new ArrayList<>();
    private final Set<TaskRef> done = new HashSet<>();
    private final Map<TaskRef, Integer> failed = new HashMap<>();

    /** A violated rule, with the task and what happened. */
    static final class Violation extends AssertionError {
        final String rule;
        final String job;

        private Violation(String rule, String job, String text) {
            super(rule + ": " + text);
            this.rule = rule;
            this.job = job;
        }
    }

    private record Start(long order, WorkerId worker, TaskRun run) {}

    /** An end that a worker has listed; {@code order} tells whether it came before a start. */
    private static final class End {
        final long order;
        final SimulatedWorker worker;
        final WorkerReport.EndedRun end;
        boolean exempt;
        boolean acknowledged;

        private End(long order, SimulatedWorker worker, WorkerReport.EndedRun end) {
            this.order = order;
            this.worker = worker;
            this.end = end;
        }
    }

    private long order;

    RunRules(FaultSimulation simulation) {
        this.simulation = simulation;
    }

    /** Checks a run that a worker is about to begin. */
    void begins(SimulatedWorker worker, TaskRun run) {
        for (SimulatedWorker other : simulation.workers.values()) {
            for (TaskRun running : other.running.keySet()) {
                if (other.up && running.task().equals(run.task())) {
                    throw violation("two-runs", run, running + " on " + other.id + " and " + run + " on " + worker.id);
                }
            }
        }
        StepSpec step = simulation.step(run.task());
        for (int earlier : step.after()) {
            int count = simulation.submission(run.task()).steps().get(earlier).count();
            for (int index = 0; index < count; index++) {
                if (!done.contains(new TaskRef(run.task().job(), earlier, index))) {
                    throw violation("order", run, run + " on " + worker.id + " before step " + earlier + " is done");
                }
            }
        }
        starts.add(new Start(order++, worker.id, run));
        check(run.task());
    }

    /** Records an end that a worker lists. */
    void ended(SimulatedWorker worker, WorkerReport.EndedRun end) {
        ends.add(new End(order++, worker, end));
        if (end.end() == WorkerReport.RunEnd.DONE) {
            done.add(end.run().task());
        } else if (end.end() == WorkerReport.RunEnd.FAILED) {
            failed.merge(end.run().task(), 1, Integer::sum);
        }
    }

    /** Records that a worker forgets an end since a renewal acknowledged it. */
    void acknowledged(SimulatedWorker worker, WorkerReport.EndedRun acknowledged) {
        for (End end : ends) {
            if (end.worker == worker && end.end == acknowledged && !end.exempt) {
                end.acknowledged = true;
            }
        }
        check(acknowledged.run().task());
    }

    /** Records the lapse of a worker's lease, after which an acknowledgement of its earlier ends does not count. */
    void lapsed(SimulatedWorker worker) {
        exempt(worker);
    }

    /** Records that a worker has lost its ends in a crash. */
    void forget(SimulatedWorker worker) {
        exempt(worker);
    }

    private void exempt(SimulatedWorker worker) {
        ends.stream().filter(end -> end.worker == worker && !end.acknowledged).forEach(end -> end.exempt = true);
    }

    private void check(TaskRef task) {
        List<Start> startsOfTask =
                starts.stream().filter(start -> start.run.task().equals(task)).toList();
        List<End> endsOfTask = ends.stream()
                .filter(end -> end.acknowledged && end.end.run().task().equals(task))
                .toList();
        int maxAttempts = simulation.submission(task).rules().maxAttempts();
        for (Start start : startsOfTask) {
            long failures = 0;
            for (End end : endsOfTask) {
                if (end.order > start.order) {
                    continue;
                }
                if (end.end.end() == WorkerReport.RunEnd.DONE) {
                    throw violation(
                            "start-after-done",
                            start.run,
                            start.run + " on " + start.worker + " after " + end.end.run() + " done on "
                                    + end.worker.id);
                }
                failures += end.end.end() == WorkerReport.RunEnd.FAILED ? 1 : 0;
            }
            if (failures >= maxAttempts) {
                throw violation("attempts", start.run, start.run + " on " + start.worker + " after " + failures);
            }
        }
    }

    /** Checks a record of a job's progress: a job completes or fails only for a cause that workers have listed. */
    void stored(CellRecord record) {
        if (!(record instanceof CellRecord.Progress progress)) {
            return;
        }
        Submission job = simulation.submissions.get(progress.job());
        if (progress.phase() == JobPhase.COMPLETED && tasks(job).stream().anyMatch(task -> !done.contains(task))) {
            throw new Violation("completed-early", progress.job(), progress.toString());
        }
        if (progress.phase() == JobPhase.FAILED
                && tasks(job).stream()
                        .noneMatch(task -> failures(job, task) >= job.rules().maxAttempts())) {
            throw new Violation("failed-without-cause", progress.job(), progress.toString());
        }
    }

    /** Returns the number of failed runs of a task, or of the gang that it belongs to. */
    private int failures(Submission job, TaskRef task) {
        return tasks(job).stream()
                .filter(other -> other.equals(task)
                        || other.step() == task.step()
                                && job.steps().get(task.step()).gang())
                .mapToInt(other -> failed.getOrDefault(other, 0))
                .sum();
    }

    private static List<TaskRef> tasks(Submission job) {
        List<TaskRef> tasks = new ArrayList<>();
        for (int step = 0; step < job.steps().size(); step++) {
            for (int index = 0; index < job.steps().get(step).count(); index++) {
                tasks.add(new TaskRef(job.id(), step, index));
            }
        }
        return tasks;
    }

    /** Checks that all jobs have ended, a while after the last fault. */
    void checkAllEnded() {
        Map<String, JobPhase> phases = simulation.store.newest().stream()
                .filter(CellRecord.Progress.class::isInstance)
                .map(CellRecord.Progress.class::cast)
                .collect(Collectors.toMap(CellRecord.Progress::job, CellRecord.Progress::phase));
        for (String job : simulation.submissions.keySet()) {
            if (!phases.containsKey(job) || !phases.get(job).ended()) {
                throw new Violation("unfinished", job, job + " is " + phases.get(job));
            }
        }
    }

    private static Violation violation(String rule, TaskRun run, String text) {
        return new Violation(rule, run.task().job(), text);
    }
}

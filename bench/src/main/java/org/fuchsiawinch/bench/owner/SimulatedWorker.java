package org.fuchsiawinch.bench.owner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRun;
import org.fuchsiawinch.workflow.owner.CellOwner;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.WorkerReport;

/** Worker that runs each task for its estimated time and answers a renewal when a run ends. Not thread-safe. */
final class SimulatedWorker {

    private static final int PERCENT = 100;

    private final SimulatedCell cell;
    private final WorkerId id;
    private final Map<TaskRun, Long> startMsByRun = new LinkedHashMap<>();
    private final List<WorkerReport.EndedRun> ended = new ArrayList<>();
    private Optional<Runnable> waitingAnswer = Optional.empty();
    private long incarnation = 1;
    private long sequence;
    private long startedRuns;

    SimulatedWorker(SimulatedCell cell, WorkerId id) {
        this.cell = cell;
        this.id = id;
    }

    long startedRuns() {
        return startedRuns;
    }

    void restart() {
        incarnation++;
        sequence = 0;
        startMsByRun.clear();
        ended.clear();
        answerNow();
    }

    void start(TaskRun run) {
        if (startMsByRun.putIfAbsent(run, cell.nowMs()) == null) {
            startedRuns++;
            cell.schedule(runMs(run), () -> end(run, WorkerReport.RunEnd.DONE));
        }
    }

    private long runMs(TaskRun run) {
        return cell.submission(run.task().job()).steps().get(run.task().step()).estimatedMs();
    }

    void end(TaskRun run, WorkerReport.RunEnd how) {
        if (startMsByRun.remove(run) != null) {
            ended.add(new WorkerReport.EndedRun(++sequence, run, how, ""));
            answerNow();
        }
    }

    void renew(CellOwner asker, OwnerEffect.Renew renew) {
        ended.removeIf(end -> end.sequence() <= renew.acknowledged());
        long sentMs = cell.nowMs();
        Runnable answer = () -> cell.answer(asker, new OwnerInput.Renewed(id, sentMs, report()));
        if (!ended.isEmpty() || renew.waitMs() == 0) {
            answer.run();
            return;
        }
        waitingAnswer = Optional.of(answer);
        cell.schedule(renew.waitMs(), () -> {
            if (waitingAnswer.filter(waiting -> waiting == answer).isPresent()) {
                answerNow();
            }
        });
    }

    private void answerNow() {
        Optional<Runnable> answer = waitingAnswer;
        waitingAnswer = Optional.empty();
        answer.ifPresent(Runnable::run);
    }

    private WorkerReport report() {
        List<WorkerReport.RunningTask> running = new ArrayList<>();
        startMsByRun.forEach((run, startMs) -> running.add(new WorkerReport.RunningTask(
                run, "", (int) Math.min(PERCENT, PERCENT * (cell.nowMs() - startMs) / runMs(run)))));
        return new WorkerReport(incarnation, cell.nowMs(), running, List.copyOf(ended), true);
    }
}

package org.fuchsiawinch.replay.check;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.replay.history.HistoryEvent;

/** Finds workers whose running parts together exceed the worker's capacity. */
final class OvercommitCheck implements HistoryCheck {

    private final Map<WorkerId, Resources> capacity = new HashMap<>();
    private final Map<WorkerId, Resources> used = new HashMap<>();
    private final Map<JobId, Resources> perPart = new HashMap<>();
    private final Map<TaskId, WorkerId> running = new HashMap<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        if (event instanceof HistoryEvent.WorkerUp up) {
            capacity.put(up.worker().id(), up.worker().capacity());
        } else if (event instanceof HistoryEvent.JobSubmitted submitted) {
            perPart.put(submitted.spec().id(), submitted.spec().shape().perPart());
        } else if (event instanceof HistoryEvent.PartStarted started) {
            start(started, report);
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            WorkerId worker = running.remove(ended.task());
            if (worker != null) {
                Resources part = perPart.get(ended.task().attempt().job());
                used.computeIfPresent(worker, (id, sum) -> sum.minus(part));
            }
        }
    }

    private void start(HistoryEvent.PartStarted started, Consumer<Violation> report) {
        JobId job = started.task().attempt().job();
        running.put(started.task(), started.worker());
        Resources sum = used.merge(started.worker(), perPart.getOrDefault(job, Resources.NONE), Resources::plus);
        if (!sum.fitsIn(capacity.getOrDefault(started.worker(), Resources.NONE))) {
            report.accept(Violation.ofWorker(Promise.NO_OVERCOMMIT, started.atMs(), job, started.worker()));
        }
    }
}

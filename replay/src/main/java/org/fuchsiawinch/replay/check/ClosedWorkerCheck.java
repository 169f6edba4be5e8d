package org.fuchsiawinch.replay.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.replay.engine.ProtocolTimes;
import org.fuchsiawinch.replay.history.HistoryEvent;

/**
 * Finds starts on workers that the scheduler knew to be unusable, or that had been down for longer than it may take to
 * detect.
 */
final class ClosedWorkerCheck implements HistoryCheck {

    private final Set<WorkerId> opened = new HashSet<>();
    private final Map<WorkerId, Long> downSinceMs = new HashMap<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        if (event instanceof HistoryEvent.WorkerOpened open) {
            opened.add(open.worker().id());
            downSinceMs.remove(open.worker().id());
        } else if (event instanceof HistoryEvent.WorkerClosed closed) {
            opened.remove(closed.worker());
        } else if (event instanceof HistoryEvent.WorkerDown down) {
            downSinceMs.putIfAbsent(down.worker(), down.atMs());
        } else if (event instanceof HistoryEvent.StartDecided start) {
            start.placements().stream()
                    .map(Placement::worker)
                    .distinct()
                    .filter(worker -> !usable(worker, start.atMs()))
                    .forEach(worker -> report.accept(Violation.ofWorker(
                            Promise.NO_WORK_ON_CLOSED_WORKER,
                            start.atMs(),
                            start.attempt().job(),
                            worker)));
        }
    }

    private boolean usable(WorkerId worker, long nowMs) {
        long downMs = nowMs - downSinceMs.getOrDefault(worker, nowMs);
        return opened.contains(worker) && downMs <= ProtocolTimes.MAX_DOWN_DETECTION_MS;
    }
}

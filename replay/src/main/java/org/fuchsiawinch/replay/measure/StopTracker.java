package org.fuchsiawinch.replay.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.TaskId;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;

/** Tracks stopped attempts: how long reclaims take and how much accelerator time is lost. Not thread-safe. */
final class StopTracker {

    private final Map<AttemptId, Long> reclaimDecidedMs = new HashMap<>();
    private final Map<TaskId, Long> startedMs = new HashMap<>();
    private final Map<JobId, Integer> accelerators = new HashMap<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private final List<Long> reclaimDurationsMs = new ArrayList<>();
    private long lostAcceleratorMs;

    void onEvent(HistoryEvent event) {
        if (event instanceof HistoryEvent.JobSubmitted submitted) {
            accelerators.put(
                    submitted.spec().id(), submitted.spec().shape().perPart().accelerators());
        } else if (event instanceof HistoryEvent.JobCancelRequested cancel) {
            cancelled.add(cancel.job());
        } else if (event instanceof HistoryEvent.StopDecided stop && stop.code() == ReasonCode.STOP_RECLAIM) {
            reclaimDecidedMs.putIfAbsent(stop.attempt(), stop.atMs());
        } else if (event instanceof HistoryEvent.AttemptClosed closed) {
            Long decidedMs = reclaimDecidedMs.remove(closed.attempt());
            if (decidedMs != null) {
                reclaimDurationsMs.add(closed.atMs() - decidedMs);
            }
        } else if (event instanceof HistoryEvent.PartStarted started) {
            startedMs.put(started.task(), started.atMs());
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            partEnded(ended);
        }
    }

    Distribution reclaimDurations() {
        return Distribution.of(reclaimDurationsMs);
    }

    long lostAcceleratorMs() {
        return lostAcceleratorMs;
    }

    private void partEnded(HistoryEvent.PartEnded ended) {
        Long sinceMs = startedMs.remove(ended.task());
        JobId job = ended.task().attempt().job();
        boolean progressKept = ended.end() == PartEnd.COMPLETED || ended.end() == PartEnd.CHECKPOINTED;
        if (sinceMs == null || progressKept || cancelled.contains(job)) {
            return;
        }
        lostAcceleratorMs += (ended.atMs() - sinceMs) * accelerators.getOrDefault(job, 0);
    }
}

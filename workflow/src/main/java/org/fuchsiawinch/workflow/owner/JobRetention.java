package org.fuchsiawinch.workflow.owner;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawinch.workflow.record.CellRecord;

/** Removes ended jobs and early cancellations once their retention is over. Not thread-safe. */
final class JobRetention {

    /** Interval in ms between removals of jobs past their retention; far below the retention period. */
    private static final long CHECK_INTERVAL_MS = 5000;

    private final CellState state;
    private long lastCheckMs;

    JobRetention(CellState state) {
        this.state = state;
    }

    /** Removes what is past its retention if a check is due; returns the removals to store. */
    List<CellRecord> removalsDue(long nowMs) {
        if (nowMs - lastCheckMs < CHECK_INTERVAL_MS) {
            return List.of();
        }
        lastCheckMs = nowMs;
        List<CellRecord> removed = new ArrayList<>();
        removeJobs(removed, nowMs);
        removeEarlyCancellations(removed, nowMs);
        return removed;
    }

    private void removeJobs(List<CellRecord> removed, long nowMs) {
        state.jobs.values().removeIf(job -> {
            String id = job.submission().id();
            boolean expired = job.phase().ended()
                    && !state.openJobs.containsKey(id)
                    && nowMs - job.endedAtMs() > state.settings.retentionMs();
            if (expired) {
                state.cancelled.remove(id);
                state.duplicateRuns.forget(id);
                removed.add(new CellRecord.Removed(CellRecord.Accepted.PREFIX + id));
                removed.add(new CellRecord.Removed(CellRecord.Progress.PREFIX + id));
                removed.add(new CellRecord.Removed(CellRecord.CancelRequested.PREFIX + id));
            }
            return expired;
        });
    }

    private void removeEarlyCancellations(List<CellRecord> removed, long nowMs) {
        state.earlyCancellations.values().removeIf(early -> {
            boolean expired = nowMs - early.readAtMs() > state.settings.retentionMs();
            if (expired) {
                removed.add(new CellRecord.Removed(early.request().key()));
            }
            return expired;
        });
    }
}

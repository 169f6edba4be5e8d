package org.fuchsiawinch.workflow.owner;

import java.util.OptionalLong;

import org.fuchsiawinch.workflow.job.JobState;
import org.fuchsiawinch.workflow.job.TaskPhase;

/** Logs every 2 s how much work an owner has and how late it is. Decides nothing. Not thread-safe. */
final class OwnerLoad {

    private static final long INTERVAL_MS = 2000;

    private final CellState state;
    private final StandingJobs standingJobs;
    private long lastLineMs;
    private OptionalLong lastTickMs = OptionalLong.empty();
    private OptionalLong appendSentMs = OptionalLong.empty();
    private long maxTickGapMs;
    private long maxAppendMs;

    OwnerLoad(CellState state, StandingJobs standingJobs, long nowMs) {
        this.state = state;
        this.standingJobs = standingJobs;
        this.lastLineMs = nowMs;
    }

    /** Returns the age in ms of the append in flight; 0 if there is none. */
    long appendAgeMs(long nowMs) {
        return appendSentMs.isEmpty() ? 0 : nowMs - appendSentMs.getAsLong();
    }

    void appendSent(long nowMs) {
        appendSentMs = OptionalLong.of(nowMs);
    }

    void appendStored(long nowMs) {
        observeAppend(nowMs);
        appendSentMs = OptionalLong.empty();
    }

    /** Observes a tick, and logs a line if it is due. An append in flight counts with its age. */
    void tick(long nowMs) {
        lastTickMs.ifPresent(last -> maxTickGapMs = Math.max(maxTickGapMs, nowMs - last));
        lastTickMs = OptionalLong.of(nowMs);
        if (nowMs - lastLineMs < INTERVAL_MS) {
            return;
        }
        observeAppend(nowMs);
        log(nowMs);
        lastLineMs = nowMs;
        maxTickGapMs = 0;
        maxAppendMs = 0;
    }

    private void observeAppend(long nowMs) {
        appendSentMs.ifPresent(sent -> maxAppendMs = Math.max(maxAppendMs, nowMs - sent));
    }

    private void log(long nowMs) {
        int listed = 0;
        int usable = 0;
        int quarantined = 0;
        int silent = 0;
        int freeAccelerators = 0;
        int idleAccelerators = 0;
        int totalAccelerators = 0;
        int runs = 0;
        for (WorkerState worker : state.workers.values()) {
            runs += worker.runs.size();
            if (!worker.listed) {
                continue;
            }
            listed++;
            totalAccelerators += worker.registration.capacity().accelerators();
            quarantined += worker.health.quarantined(nowMs) ? 1 : 0;
            silent += worker.silent(nowMs) ? 1 : 0;
            if (worker.usable(nowMs)) {
                usable++;
                freeAccelerators += worker.free().accelerators();
                idleAccelerators += worker.runs.isEmpty() ? worker.free().accelerators() : 0;
            }
        }
        state.log.line(
                "owner-load",
                "openJobs",
                state.openJobs.size(),
                "waitingTasks",
                waitingTasks(),
                "listed",
                listed,
                "usable",
                usable,
                "quarantined",
                quarantined,
                "silent",
                silent,
                "freeAccelerators",
                freeAccelerators,
                "idleAccelerators",
                idleAccelerators,
                "totalAccelerators",
                totalAccelerators,
                "runs",
                runs,
                "maxTickGapMs",
                maxTickGapMs,
                "maxAppendMs",
                maxAppendMs,
                "termMs",
                state.term.announcedMs(),
                "standingJobs",
                standingJobs.count(),
                "longestStandingMs",
                standingJobs.longestMs(nowMs));
    }

    /** Returns the number of tasks that wait and whose earlier steps are done. */
    private long waitingTasks() {
        long waiting = 0;
        for (JobState job : state.openJobs.values()) {
            for (int step = 0; step < job.submission().steps().size(); step++) {
                if (!job.phase().ended() && job.dependenciesDone(step)) {
                    waiting += job.tasks(step).stream()
                            .filter(task -> task.phase() == TaskPhase.WAITING)
                            .count();
                }
            }
        }
        return waiting;
    }
}

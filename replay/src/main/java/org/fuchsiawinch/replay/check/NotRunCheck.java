package org.fuchsiawinch.replay.check;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.replay.history.HistoryEvent;

/** Finds jobs that ran although their caller was notified that they had not. */
final class NotRunCheck implements HistoryCheck {

    private final Set<JobId> jobsStarted = new HashSet<>();
    private final Set<JobId> reportedNotRun = new HashSet<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        if (event instanceof HistoryEvent.PartStarted started) {
            JobId job = started.task().attempt().job();
            if (jobsStarted.add(job) && reportedNotRun.contains(job)) {
                report.accept(Violation.ofJob(Promise.NOT_RUN_IS_TRUE, started.atMs(), job));
            }
        } else if (event instanceof HistoryEvent.JobEndReported ended && !ended.ran()) {
            reportedNotRun.add(ended.job());
            if (jobsStarted.contains(ended.job())) {
                report.accept(Violation.ofJob(Promise.NOT_RUN_IS_TRUE, ended.atMs(), ended.job()));
            }
        }
    }
}

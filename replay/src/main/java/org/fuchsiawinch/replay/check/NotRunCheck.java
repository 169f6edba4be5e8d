package org.fuchsiawinch.replay.check;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.replay.history.HistoryEvent;

/** Finds jobs that ran although their caller was told that they had not run. */
final class NotRunCheck implements HistoryCheck {

    private final Set<JobId> began = new HashSet<>();
    private final Set<JobId> toldNotRun = new HashSet<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        if (event instanceof HistoryEvent.PartStarted started) {
            JobId job = started.task().attempt().job();
            if (began.add(job) && toldNotRun.contains(job)) {
                report.accept(Violation.ofJob(Promise.NOT_RUN_IS_TRUE, started.atMs(), job));
            }
        } else if (event instanceof HistoryEvent.JobEndReported told && !told.ran()) {
            toldNotRun.add(told.job());
            if (began.contains(told.job())) {
                report.accept(Violation.ofJob(Promise.NOT_RUN_IS_TRUE, told.atMs(), told.job()));
            }
        }
    }
}

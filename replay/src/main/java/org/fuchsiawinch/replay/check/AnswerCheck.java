package org.fuchsiawinch.replay.check;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.replay.history.HistoryEvent;

/** Finds jobs with several outcomes, and jobs without one that at the end neither run nor wait for a stated reason. */
final class AnswerCheck implements HistoryCheck {

    private final Map<JobId, Integer> outcomes = new LinkedHashMap<>();
    private final Set<JobId> runningOrWaiting = new HashSet<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        if (event instanceof HistoryEvent.JobSubmitted submitted) {
            outcomes.putIfAbsent(submitted.spec().id(), 0);
        } else if (event instanceof HistoryEvent.ResultDelivered result) {
            count(result.job(), result.atMs(), report);
        } else if (event instanceof HistoryEvent.JobEndReported ended) {
            count(ended.job(), ended.atMs(), report);
        } else if (event instanceof HistoryEvent.JobOpenAtEnd open
                && (open.running() || open.waiting().isPresent())) {
            runningOrWaiting.add(open.job());
        }
    }

    @Override
    public void finish(long endMs, Consumer<Violation> report) {
        outcomes.forEach((job, count) -> {
            if (count == 0 && !runningOrWaiting.contains(job)) {
                report.accept(Violation.ofJob(Promise.ONE_ANSWER, endMs, job));
            }
        });
    }

    private void count(JobId job, long atMs, Consumer<Violation> report) {
        if (outcomes.merge(job, 1, Integer::sum) > 1) {
            report.accept(Violation.ofJob(Promise.ONE_ANSWER, atMs, job));
        }
    }
}

package org.fuchsiawinch.replay.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;

/** Finds non-idempotent jobs that started again other than from a checkpoint. */
final class AtMostOnceCheck implements HistoryCheck {

    private final Map<JobId, JobId> originals = new HashMap<>();
    private final Map<JobId, Set<AttemptId>> attemptsByOriginal = new HashMap<>();
    private final Map<AttemptId, Integer> unsavedParts = new HashMap<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        if (event instanceof HistoryEvent.JobSubmitted submitted) {
            if (!submitted.spec().idempotent()) {
                originals.put(submitted.spec().id(), submitted.originalId());
            }
        } else if (event instanceof HistoryEvent.PartStarted started) {
            start(started, report);
        } else if (event instanceof HistoryEvent.PartEnded ended && ended.end() == PartEnd.CHECKPOINTED) {
            unsavedParts.computeIfPresent(ended.task().attempt(), (id, count) -> count - 1);
        }
    }

    private void start(HistoryEvent.PartStarted started, Consumer<Violation> report) {
        AttemptId attempt = started.task().attempt();
        JobId original = originals.get(attempt.job());
        if (original == null) {
            return;
        }
        Set<AttemptId> attempts = attemptsByOriginal.computeIfAbsent(original, job -> new HashSet<>());
        boolean first = attempts.add(attempt);
        boolean rerun = attempts.stream().anyMatch(id -> !id.equals(attempt) && unsavedParts.get(id) > 0);
        if (first && rerun) {
            report.accept(Violation.ofJob(Promise.AT_MOST_ONCE, started.atMs(), attempt.job()));
        }
        unsavedParts.merge(attempt, 1, Integer::sum);
    }
}

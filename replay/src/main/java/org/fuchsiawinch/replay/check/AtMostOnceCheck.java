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

/** Finds non-idempotent jobs that began again other than from a checkpoint. */
final class AtMostOnceCheck implements HistoryCheck {

    private final Map<JobId, JobId> originals = new HashMap<>();
    private final Map<JobId, Set<AttemptId>> begun = new HashMap<>();
    private final Map<AttemptId, Integer> unsaved = new HashMap<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        if (event instanceof HistoryEvent.JobSubmitted submitted) {
            if (!submitted.spec().idempotent()) {
                originals.put(submitted.spec().id(), submitted.originalId());
            }
        } else if (event instanceof HistoryEvent.PartStarted started) {
            start(started, report);
        } else if (event instanceof HistoryEvent.PartEnded ended && ended.end() == PartEnd.CHECKPOINTED) {
            unsaved.computeIfPresent(ended.task().attempt(), (id, count) -> count - 1);
        }
    }

    private void start(HistoryEvent.PartStarted started, Consumer<Violation> report) {
        AttemptId attempt = started.task().attempt();
        JobId original = originals.get(attempt.job());
        if (original == null) {
            return;
        }
        Set<AttemptId> earlier = begun.computeIfAbsent(original, job -> new HashSet<>());
        boolean first = earlier.add(attempt);
        boolean again = earlier.stream().anyMatch(id -> !id.equals(attempt) && unsaved.get(id) > 0);
        if (first && again) {
            report.accept(Violation.ofJob(Promise.AT_MOST_ONCE, started.atMs(), attempt.job()));
        }
        unsaved.merge(attempt, 1, Integer::sum);
    }
}

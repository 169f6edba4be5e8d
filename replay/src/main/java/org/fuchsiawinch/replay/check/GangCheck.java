package org.fuchsiawinch.replay.check;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.replay.engine.ProtocolTimes;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;

/** Finds gangs of which only some parts run for longer than the protocol allows. */
final class GangCheck implements HistoryCheck {

    private final Map<JobId, Integer> parts = new LinkedHashMap<>();
    private final Map<AttemptId, GangState> gangs = new LinkedHashMap<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        if (event instanceof HistoryEvent.JobSubmitted submitted) {
            parts.put(submitted.spec().id(), submitted.spec().shape().parts());
        } else if (event instanceof HistoryEvent.PartStarted started) {
            start(started);
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            end(ended, report);
        }
    }

    @Override
    public void finish(long endMs, Consumer<Violation> report) {
        gangs.forEach((id, gang) -> checkComplete(id, gang, endMs, report));
    }

    private void start(HistoryEvent.PartStarted started) {
        AttemptId id = started.task().attempt();
        GangState gang =
                gangs.computeIfAbsent(id, key -> new GangState(parts.getOrDefault(key.job(), 1), started.atMs()));
        gang.started++;
        gang.running.add(started.task().part());
        if (gang.started == gang.expected) {
            gang.partialSinceMs = gang.brokenMs;
        }
    }

    private void end(HistoryEvent.PartEnded ended, Consumer<Violation> report) {
        AttemptId id = ended.task().attempt();
        GangState gang = gangs.get(id);
        if (gang == null) {
            return;
        }
        checkComplete(id, gang, ended.atMs(), report);
        gang.running.remove(ended.task().part());
        if (ended.end() != PartEnd.COMPLETED && gang.brokenMs == GangState.NEVER) {
            gang.brokenMs = ended.atMs();
            gang.partialSinceMs = Math.min(gang.partialSinceMs, ended.atMs());
        }
    }

    private static void checkComplete(AttemptId id, GangState gang, long nowMs, Consumer<Violation> report) {
        boolean overdue = gang.partialSinceMs != GangState.NEVER
                && nowMs - gang.partialSinceMs > ProtocolTimes.MAX_PARTIAL_GANG_MS;
        if (overdue && !gang.running.isEmpty() && !gang.reported) {
            gang.reported = true;
            report.accept(Violation.ofJob(Promise.GANG_WHOLE, nowMs, id.job()));
        }
    }

    /** State of one attempt, derived from the history. */
    private static final class GangState {
        private static final long NEVER = Long.MAX_VALUE;

        private final int expected;
        private final Set<Integer> running = new HashSet<>();
        private int started;
        private long partialSinceMs;
        private long brokenMs = NEVER;
        private boolean reported;

        private GangState(int expected, long firstStartMs) {
            this.expected = expected;
            this.partialSinceMs = firstStartMs;
        }
    }
}

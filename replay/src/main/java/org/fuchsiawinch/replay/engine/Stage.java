package org.fuchsiawinch.replay.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.replay.history.HistoryEvent;

/**
 * State shared by all fakes of one replay: clock, jitter, history, availability of the log and connection to the
 * scheduler. Not thread-safe.
 */
final class Stage {

    private final Timeline timeline = new Timeline();
    private final List<HistoryEvent> history = new ArrayList<>();
    private final Jitter jitter;
    private Consumer<SchedulerEvent> scheduler = event -> {};
    private long logBackMs;
    private long usageLagMs = 2_000;

    Stage(long seed) {
        this.jitter = new Jitter(seed);
    }

    Timeline timeline() {
        return timeline;
    }

    Jitter jitter() {
        return jitter;
    }

    long nowMs() {
        return timeline.nowMs();
    }

    List<HistoryEvent> history() {
        return history;
    }

    void record(HistoryEvent event) {
        history.add(event);
    }

    void connect(Consumer<SchedulerEvent> target) {
        scheduler = target;
    }

    void tell(SchedulerEvent event) {
        scheduler.accept(event);
    }

    boolean logDown() {
        return nowMs() < logBackMs;
    }

    long logBackMs() {
        return logBackMs;
    }

    void stopLog(long untilMs) {
        logBackMs = Math.max(logBackMs, untilMs);
    }

    long usageLagMs() {
        return usageLagMs;
    }

    void delayUsage(long lagMs) {
        usageLagMs = lagMs;
    }

    /** Returns a protocol delay in ms with its jitter added. */
    long delay(long baseMs, String purpose, Object subject) {
        return baseMs + jitter.ms(purpose, subject, ProtocolTimes.JITTER_MS);
    }

    /** Runs an action once the record of a decision made now is read back from the log. */
    void afterAppend(Object subject, Runnable action) {
        long readyMs = Math.max(nowMs(), logBackMs);
        timeline.at(readyMs + delay(ProtocolTimes.APPEND_MS, "append", subject), () -> retryIfLogDown(subject, action));
    }

    private void retryIfLogDown(Object subject, Runnable action) {
        if (logDown()) {
            afterAppend(subject, action);
            return;
        }
        action.run();
    }
}

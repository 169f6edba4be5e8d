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
final class ReplayContext {

    private final VirtualClock clock = new VirtualClock();
    private final List<HistoryEvent> history = new ArrayList<>();
    private final Jitter jitter;
    private Consumer<SchedulerEvent> scheduler = event -> {};
    private long logAvailableMs;
    private long usageLagMs = 2_000;

    ReplayContext(long seed) {
        this.jitter = new Jitter(seed);
    }

    VirtualClock clock() {
        return clock;
    }

    Jitter jitter() {
        return jitter;
    }

    long nowMs() {
        return clock.nowMs();
    }

    List<HistoryEvent> history() {
        return history;
    }

    void record(HistoryEvent event) {
        history.add(event);
    }

    void setScheduler(Consumer<SchedulerEvent> receiver) {
        scheduler = receiver;
    }

    void notifyScheduler(SchedulerEvent event) {
        scheduler.accept(event);
    }

    boolean logUnavailable() {
        return nowMs() < logAvailableMs;
    }

    long logAvailableMs() {
        return logAvailableMs;
    }

    void startLogOutage(long untilMs) {
        logAvailableMs = Math.max(logAvailableMs, untilMs);
    }

    long usageLagMs() {
        return usageLagMs;
    }

    void setUsageLagMs(long lagMs) {
        usageLagMs = lagMs;
    }

    /** Returns a protocol delay in ms with its jitter added. */
    long delayMs(long baseMs, String purpose, Object subject) {
        return baseMs + jitter.delayMs(purpose, subject, ProtocolTimes.JITTER_BOUND_MS);
    }

    /** Runs an action once the record of a decision made now is read back from the log. */
    void afterAppend(Object subject, Runnable action) {
        long readyMs = Math.max(nowMs(), logAvailableMs);
        clock.scheduleAt(
                readyMs + delayMs(ProtocolTimes.APPEND_DELAY_MS, "append", subject),
                () -> runOrAwaitLog(subject, action));
    }

    private void runOrAwaitLog(Object subject, Runnable action) {
        if (logUnavailable()) {
            afterAppend(subject, action);
            return;
        }
        action.run();
    }
}

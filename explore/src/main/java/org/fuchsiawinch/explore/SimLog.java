package org.fuchsiawinch.explore;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.standin.log.LogStore;

/** Simulated log of the platform, with faults on appends and reads. Not thread-safe. */
final class SimLog {

    private static final long APPEND_TIMEOUT_MS = 1000;
    private static final long READ_TIMEOUT_MS = 500;
    private static final long REFUSAL_DELAY_MS = 100;
    private static final int MAX_RECORDS = 5000;
    private static final int READ_LIMIT = 256;

    private final EventLoop loop;
    private final SplittableRandom random;
    private final LogStore store;
    private final List<Envelope> records = new ArrayList<>();
    private long totalDownMs;
    private long downUntilMs;
    private long slowUntilMs;
    private long maxExtraDelayMs;
    private long faultyUntilMs;
    private ScheduleEvent.AppendFaults faults = new ScheduleEvent.AppendFaults(0, 0, 0, 0, 0);

    SimLog(EventLoop loop, SplittableRandom random, long retentionMs) {
        this.loop = loop;
        this.random = random;
        this.store = new LogStore(retentionMs);
    }

    /** Returns the number of records appended so far, including those past the retention. */
    int appended() {
        return records.size();
    }

    void outage(long forMs) {
        long untilMs = Math.max(downUntilMs, loop.nowMs() + forMs);
        totalDownMs += untilMs - Math.max(downUntilMs, loop.nowMs());
        downUntilMs = untilMs;
    }

    void slow(long forMs, long delayMs) {
        slowUntilMs = loop.nowMs() + forMs;
        maxExtraDelayMs = delayMs;
    }

    void appendFaults(ScheduleEvent.AppendFaults value) {
        faults = value;
        faultyUntilMs = loop.nowMs() + value.forMs();
    }

    /** Appends a batch and passes to {@code answer} whether it was acknowledged; if not, it may still take effect. */
    void append(List<Envelope> batch, boolean reachable, Consumer<Boolean> answer) {
        if (!reachable) {
            loop.scheduleAfter(APPEND_TIMEOUT_MS, () -> answer.accept(false));
            return;
        }
        if (loop.nowMs() < downUntilMs) {
            boolean refused = random.nextBoolean();
            loop.scheduleAfter(refused ? REFUSAL_DELAY_MS : APPEND_TIMEOUT_MS, () -> answer.accept(false));
            return;
        }
        boolean faulty = loop.nowMs() < faultyUntilMs;
        int roll = random.nextInt(100);
        if (faulty && roll < faults.lostPercent()) {
            loop.scheduleAfter(APPEND_TIMEOUT_MS, () -> answer.accept(false));
            return;
        }
        boolean late = faulty && roll >= 100 - faults.latePercent();
        boolean unanswered = faulty && random.nextInt(100) < faults.unansweredPercent();
        long arriveMs = late ? APPEND_TIMEOUT_MS + random.nextInt(4000) : delayMs();
        long answerMs = arriveMs + delayMs();
        loop.scheduleAfter(arriveMs, () -> commit(batch));
        if (unanswered || answerMs > APPEND_TIMEOUT_MS) {
            loop.scheduleAfter(APPEND_TIMEOUT_MS, () -> answer.accept(false));
            return;
        }
        loop.scheduleAfter(answerMs, () -> answer.accept(true));
    }

    /** Reads from an offset; runs {@code failed} if the log cannot be read. */
    void read(long fromOffset, boolean reachable, Consumer<LogStore.Slice> answer, Runnable failed) {
        if (!reachable || loop.nowMs() < downUntilMs) {
            loop.scheduleAfter(READ_TIMEOUT_MS, failed);
            return;
        }
        loop.scheduleAfter(delayMs(), () -> {
            LogStore.Slice slice = store.read(fromOffset, READ_LIMIT, uptimeMs());
            loop.scheduleAfter(delayMs(), () -> answer.accept(slice));
        });
    }

    /** Returns the envelope of a stored record; the store holds only its index. */
    Envelope decode(byte[] stored) {
        return records.get(ByteBuffer.wrap(stored).getInt());
    }

    private void commit(List<Envelope> batch) {
        if (records.size() > MAX_RECORDS) {
            throw new IllegalStateException("more than " + MAX_RECORDS + " records at " + loop.nowMs() + " ms");
        }
        List<byte[]> stored = new ArrayList<>();
        for (Envelope envelope : batch) {
            stored.add(ByteBuffer.allocate(Integer.BYTES).putInt(records.size()).array());
            records.add(envelope);
        }
        store.append(stored, uptimeMs());
    }

    /** Returns the time for which the log was up, in ms; retention counts it, so that records do not age in outages. */
    private long uptimeMs() {
        return loop.nowMs() - totalDownMs + Math.max(0, downUntilMs - loop.nowMs());
    }

    private long delayMs() {
        long extra = loop.nowMs() < slowUntilMs ? random.nextLong(maxExtraDelayMs + 1) : 0;
        return 1 + random.nextInt(8) + extra;
    }
}

package org.fuchsiawinch.standin.userplatform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * Check-ins of workers: each writes its entry once an interval, and the platform removes the entry after three
 * intervals of silence, also while the store serves nobody. Thread-safe; runs until it is closed.
 */
public final class CheckIns implements AutoCloseable {

    private static final String TOPIC = "keyed.servers";
    private static final int INTERVALS_UNTIL_REMOVAL = 3;
    private static final long STEP_MS = 20;

    /** Spreads the check-ins of any number of workers over the interval: near the golden ratio of the steps. */
    private static final long SPREAD = 618;

    private static final long SPREAD_STEPS = 1000;

    private final UserPlatformServer server;
    private final LongSupplier clock;
    private final long intervalMs;
    private final List<Worker> workers = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "standin-check-ins");
        thread.setDaemon(true);
        return thread;
    });

    private static final class Worker {
        private final String id;
        private final LongFunction<String> entry;
        private long nextMs;
        private long lastStoredMs;
        private long sequence;
        private boolean listed;

        private Worker(String id, LongFunction<String> entry) {
            this.id = id;
            this.entry = entry;
        }
    }

    /**
     * Starts without workers.
     *
     * @param server store of the entries
     * @param clock supplies the present time in ms since the Unix epoch
     * @param intervalMs interval of a worker's check-ins in ms
     */
    public CheckIns(UserPlatformServer server, LongSupplier clock, long intervalMs) {
        this.server = server;
        this.clock = clock;
        this.intervalMs = intervalMs;
        timer.scheduleWithFixedDelay(this::step, STEP_MS, STEP_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Adds a worker, which checks in at once.
     *
     * @param id id of the worker
     * @param entry returns the worker's entry for the number of its check-in
     */
    public synchronized void add(String id, LongFunction<String> entry) {
        Worker worker = new Worker(id, entry);
        long nowMs = clock.getAsLong();
        checkIn(worker, nowMs);
        worker.nextMs = nowMs + intervalMs * (SPREAD * workers.size() % SPREAD_STEPS) / SPREAD_STEPS;
        workers.add(worker);
    }

    private synchronized void step() {
        long nowMs = clock.getAsLong();
        for (Worker worker : workers) {
            if (nowMs >= worker.nextMs) {
                worker.nextMs += intervalMs;
                checkIn(worker, nowMs);
            }
            if (worker.listed && nowMs - worker.lastStoredMs > INTERVALS_UNTIL_REMOVAL * intervalMs) {
                worker.listed = false;
                server.put(TOPIC, worker.id, "");
            }
        }
    }

    private void checkIn(Worker worker, long nowMs) {
        worker.sequence++;
        if (server.storeAvailable()) {
            worker.lastStoredMs = nowMs;
            worker.listed = true;
            server.put(TOPIC, worker.id, worker.entry.apply(worker.sequence));
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}

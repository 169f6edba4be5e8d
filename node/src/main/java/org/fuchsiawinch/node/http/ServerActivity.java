package org.fuchsiawinch.node.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Requests in progress on a server, and when the last request ended and the last connection began. Thread-safe. */
final class ServerActivity {

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicLong lastRequestMs;
    private final AtomicLong lastConnectionMs;

    /**
     * Creates the activity of a server that has had no connection.
     *
     * @param nowMs present monotonic time in ms
     */
    ServerActivity(long nowMs) {
        this.lastRequestMs = new AtomicLong(nowMs);
        this.lastConnectionMs = new AtomicLong(nowMs);
    }

    void connectionBegan(long nowMs) {
        lastConnectionMs.set(nowMs);
    }

    void requestBegan() {
        requests.incrementAndGet();
    }

    void requestEnded(long nowMs) {
        lastRequestMs.set(nowMs);
        requests.decrementAndGet();
    }

    /**
     * Returns whether no request is in progress and none was for some time.
     *
     * @param forMs the time in ms
     * @param nowMs present monotonic time in ms
     */
    boolean withoutRequests(long forMs, long nowMs) {
        return requests.get() == 0 && nowMs - lastRequestMs.get() >= forMs;
    }

    /**
     * Returns whether no connection has begun for some time.
     *
     * @param forMs the time in ms
     * @param nowMs present monotonic time in ms
     */
    boolean withoutNewConnections(long forMs, long nowMs) {
        return nowMs - lastConnectionMs.get() >= forMs;
    }
}

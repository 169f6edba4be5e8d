package org.fuchsiawinch.server.api;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Guards against callers that lose a second of three for each node that cannot reach the store, and against callers
 * that use up their five tries at the beginning of an outage. Load: ten first tries a second for three queues.
 */
public class RetryAdviceTest {

    private static final long CALLER_TIME_MS = 3000;

    private final RetryAdvice advice = new RetryAdvice();

    private int refuse(String queue, long leftMs, long nowMs) {
        advice.arrived(queue, leftMs, nowMs);
        return advice.retryAfterS(queue, leftMs, nowMs);
    }

    @Test
    public void sendsAFirstTryToAnotherNodeAtOnce() {
        refuse("first", CALLER_TIME_MS, 0);
        assertEquals(refuse("first", CALLER_TIME_MS - 20, 100), 0);
    }

    @Test
    public void letsACallerWaitThatHasBeenRefusedBefore() {
        refuse("again", CALLER_TIME_MS, 0);
        assertEquals(refuse("again", CALLER_TIME_MS - 50, 50), RetryAdvice.WAIT_S);
        assertEquals(refuse("again", 500, 2500), RetryAdvice.WAIT_S);
    }

    @Test
    public void knowsTheTimeOfEachQueue() {
        refuse("long", 10_000, 0);
        refuse("short", 1000, 0);
        assertEquals(refuse("long", 1000, 10), RetryAdvice.WAIT_S);
        assertEquals(refuse("short", 1000, 10), 0);
    }

    @Test
    public void followsCallersThatHaveLessTimeThanBefore() {
        refuse("changed", 10_000, 0);
        assertEquals(refuse("changed", CALLER_TIME_MS, 200_000), 0);
    }

    @Test
    public void waitsWhereNothingIsKnown() {
        assertEquals(advice.retryAfterS("none", CALLER_TIME_MS, 0), RetryAdvice.WAIT_S);
    }
}

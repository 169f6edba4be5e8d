package org.fuchsiawinch.model;

import java.util.List;
import java.util.OptionalLong;

/**
 * Rules of one workspace.
 *
 * @param guarantees shapes that it may claim at any time
 * @param acceleratorQuota most accelerators that it may hold at one time, lent ones included
 * @param queueBound most jobs that may wait
 * @param spendLimitMicros most that may be spent in a period, in millionths of the currency unit; empty for no limit
 * @param spendPeriodMs length of the spending period in ms
 */
public record WorkspacePolicy(
        List<Guarantee> guarantees,
        int acceleratorQuota,
        int queueBound,
        OptionalLong spendLimitMicros,
        long spendPeriodMs) {

    /**
     * Copies the list.
     */
    public WorkspacePolicy {
        guarantees = List.copyOf(guarantees);
    }
}

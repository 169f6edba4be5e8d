package org.fuchsiawinch.model;

import java.util.List;
import java.util.OptionalLong;

/**
 * Rules of one workspace.
 *
 * @param guarantees shapes that it may claim at any time
 * @param acceleratorQuota maximum number of accelerators that it may hold at one time, including lent ones
 * @param queueBound maximum number of waiting jobs
 * @param spendLimitMicros maximum spend in a period, in millionths of the currency unit; empty for no limit
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

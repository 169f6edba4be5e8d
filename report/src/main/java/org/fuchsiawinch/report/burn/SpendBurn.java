package org.fuchsiawinch.report.burn;

import java.util.OptionalLong;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * Spend of one workspace against its limit.
 *
 * @param workspace the workspace
 * @param limitMicros its limit for a period, in millionths of the currency unit; empty for none
 * @param periodMs length of the period, in ms
 * @param spentMicros spend in the period up to the report, in millionths of the currency unit
 * @param recentRate ten times the spend of the jobs that ended in the period's last tenth, as a share of the limit;
 *     above 1 the limit is exceeded if spend continues at this rate; 0 without a limit or for a limit of 0
 * @param sampled whether the spend is a sample by the scheduler, which includes running jobs; otherwise it is the spend
 *     of ended jobs only
 */
public record SpendBurn(
        WorkspaceId workspace,
        OptionalLong limitMicros,
        long periodMs,
        long spentMicros,
        double recentRate,
        boolean sampled) {

    /** Returns the spend as a share of the limit; 0 without a limit, and 1 for any spend if the limit is 0. */
    public double shareOfLimit() {
        if (limitMicros.isEmpty() || spentMicros == 0) {
            return 0;
        }
        return limitMicros.getAsLong() == 0 ? 1 : (double) spentMicros / limitMicros.getAsLong();
    }
}

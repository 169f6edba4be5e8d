package org.fuchsiawinch.core.internal;

import java.util.List;

import org.fuchsiawinch.model.Resources;

/**
 * Capacity that is held for a waiting job until the attempts that use it have stopped.
 *
 * @param job the job
 * @param unit the guarantee in which the job starts; null for a job that starts outside a guarantee
 * @param placement the workers of its parts
 * @param perPart granted resources of each part
 * @param excessMemoryMb memory in MiB beyond the guarantee for each group of consecutive parts, or null for none
 * @param victims attempts that are stopped to free the capacity
 * @param sinceMs when the claim was made, in ms since the Unix epoch
 */
record Claim(
        Job job,
        GuaranteeUnit unit,
        GangPlacement placement,
        Resources perPart,
        int[] excessMemoryMb,
        List<Attempt> victims,
        long sinceMs) {

    /** Returns whether the claim or its guarantee uses a worker. */
    boolean uses(Worker worker) {
        return placement.uses(worker) || (unit != null && unit.location().uses(worker));
    }
}

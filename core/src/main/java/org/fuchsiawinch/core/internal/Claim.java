package org.fuchsiawinch.core.internal;

import java.util.List;

import org.fuchsiawinch.model.Resources;

/**
 * Capacity that is held for a job until the attempts that use it have stopped.
 *
 * @param job the job
 * @param unit the guarantee it starts in; null for a job that starts outside a guarantee
 * @param gang where its parts go
 * @param part granted resources of each part
 * @param excessMemoryMb memory in MiB beyond the guarantee's on each run of parts, or null for none
 * @param victims attempts that are stopped for it
 * @param sinceMs when the claim was made, in ms since the epoch
 */
record Claim(
        Job job,
        GuaranteeUnit unit,
        Gang gang,
        Resources part,
        int[] excessMemoryMb,
        List<Attempt> victims,
        long sinceMs) {

    /** Says whether the claim or its guarantee needs a worker. */
    boolean uses(Worker worker) {
        return gang.uses(worker) || (unit != null && unit.location().uses(worker));
    }
}

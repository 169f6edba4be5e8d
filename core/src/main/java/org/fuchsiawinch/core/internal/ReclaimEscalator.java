package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.LendingPolicy;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.StopMode;

/**
 * Stops victims of a reclaim without a checkpoint if their checkpoint takes longer than the mean of the policy's
 * checkpoint time and reclaim bound, so that the reclaim meets its bound. Not thread-safe.
 */
final class ReclaimEscalator {

    private final SchedulerState state;

    ReclaimEscalator(SchedulerState state) {
        this.state = state;
    }

    /** Stops the overdue victims whose job is idempotent. */
    void tick() {
        LendingPolicy lending = state.policy().map(Policy::lending).orElse(new LendingPolicy(false, 0, 0));
        long graceMs = (lending.checkpointMs() + lending.reclaimBoundMs()) / 2;
        for (Claim claim : state.claims) {
            if (state.nowMs() - claim.sinceMs() >= graceMs) {
                claim.victims().forEach(this::stopIfOverdue);
            }
        }
    }

    private void stopIfOverdue(Attempt victim) {
        boolean overdue = victim.job().attempt() == victim
                && victim.stopCause() == StopCause.RECLAIM
                && state.victimSelector.mode(victim) == StopMode.CHECKPOINT;
        if (overdue && victim.job().spec().idempotent() && !victim.stoppedWithoutCheckpoint()) {
            victim.markStoppedWithoutCheckpoint();
            state.emit(new Decision.StopGang(victim.id(), StopMode.STOP, Reason.of(ReasonCode.STOP_RECLAIM)));
        }
    }
}

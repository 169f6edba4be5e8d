package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.model.StopMode;

/** Requests running attempts to stop. Not thread-safe. */
final class Stopper {

    private final State state;

    Stopper(State state) {
        this.state = state;
    }

    /** Requests an attempt to stop, once; a later cause that ends the job replaces one that does not. */
    void stop(Attempt attempt, StopCause cause, StopMode mode) {
        if (attempt.stopping()) {
            if (cause.endsJob() && !attempt.stopCause().endsJob()) {
                attempt.stopCause(cause);
            }
            return;
        }
        attempt.stopCause(cause);
        Occupancy.countStopping(attempt, 1);
        state.emit(new Decision.StopGang(attempt.id(), mode, Reason.of(cause.code())));
    }
}

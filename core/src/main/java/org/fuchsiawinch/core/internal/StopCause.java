package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.core.ReasonCode;

/** Why an attempt was told to stop, which says what becomes of its job. */
enum StopCause {
    /** A guarantee takes its capacity back. */
    RECLAIM(ReasonCode.STOP_RECLAIM),
    /** It is moved to make room for a large shape. */
    DEFRAGMENT(ReasonCode.STOP_DEFRAGMENT),
    /** Its caller cancelled. */
    CANCEL(ReasonCode.STOP_CANCELLED),
    /** A part of it was lost or failed. */
    BROKEN(ReasonCode.STOP_GANG_BROKEN),
    /** Its job failed on too many workers. */
    POISON(ReasonCode.END_POISON),
    /** It ran too long. */
    TIME_OVERRUN(ReasonCode.STOP_TIME_OVERRUN),
    /** It took too much memory and starts again with a larger grant. */
    MEMORY_OVERRUN(ReasonCode.STOP_MEMORY_OVERRUN),
    /** It took more memory than any worker could grant. */
    MEMORY_IMPOSSIBLE(ReasonCode.STOP_MEMORY_OVERRUN);

    private final ReasonCode code;

    StopCause(ReasonCode code) {
        this.code = code;
    }

    ReasonCode code() {
        return code;
    }

    /** Gives the reason with which the job ends. */
    ReasonCode endCode() {
        return this == CANCEL ? ReasonCode.END_CANCELLED : code;
    }

    /** Says whether the job ends with this attempt. */
    boolean endsJob() {
        return this == CANCEL || this == POISON || this == TIME_OVERRUN || this == MEMORY_IMPOSSIBLE;
    }
}

package org.fuchsiawinch.core.internal;

import org.fuchsiawinch.core.ReasonCode;

/** Cause of a stop; determines whether the job ends or waits again. */
enum StopCause {
    /** A guarantee reclaims the capacity. */
    RECLAIM(ReasonCode.STOP_RECLAIM),
    /** The attempt is moved so that a large shape fits. */
    DEFRAGMENT(ReasonCode.STOP_DEFRAGMENT),
    /** The caller cancelled the job. */
    CANCEL(ReasonCode.STOP_CANCELLED),
    /** A part failed or was lost. */
    BROKEN(ReasonCode.STOP_GANG_BROKEN),
    /** The job failed on too many workers that appear healthy, or too often in total. */
    POISON(ReasonCode.END_POISON),
    /** The attempt ran too long. */
    TIME_OVERRUN(ReasonCode.STOP_TIME_OVERRUN),
    /** The attempt used too much memory; the job starts again with a larger grant. */
    MEMORY_OVERRUN(ReasonCode.STOP_MEMORY_OVERRUN),
    /** The attempt used more memory than any worker has. */
    MEMORY_IMPOSSIBLE(ReasonCode.STOP_MEMORY_OVERRUN);

    private final ReasonCode code;

    StopCause(ReasonCode code) {
        this.code = code;
    }

    ReasonCode code() {
        return code;
    }

    /** Returns the reason with which the job ends. */
    ReasonCode endCode() {
        return this == CANCEL ? ReasonCode.END_CANCELLED : code;
    }

    /** Returns whether the job ends with this attempt. */
    boolean endsJob() {
        return this == CANCEL || this == POISON || this == TIME_OVERRUN || this == MEMORY_IMPOSSIBLE;
    }
}

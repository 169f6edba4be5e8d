package org.fuchsiawinch.core.internal;

import java.util.BitSet;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.Resources;

/** A running attempt of a job and what it holds. Not thread-safe. */
final class Attempt {

    private final AttemptId id;
    private final Job job;
    private final Gang gang;
    private final Resources part;
    private final long startedMs;
    private final RunEstimate estimate;
    private Standing standing;
    private GuaranteeUnit unit;
    private int[] excessMemoryMb;
    private StopCause stopCause;
    private boolean stoppedOutright;
    private BitSet completed;
    private int peakMemoryMb;
    private int addedMemoryMb;
    private long rateMicrosPerHour;
    private long chargedFromMs;
    private long worstMs;

    Attempt(AttemptId id, Job job, Gang gang, Resources part, RunEstimate estimate, long startedMs) {
        this.id = id;
        this.job = job;
        this.gang = gang;
        this.part = part;
        this.estimate = estimate;
        this.startedMs = startedMs;
        this.chargedFromMs = startedMs;
        this.worstMs = estimate.worstMs();
    }

    AttemptId id() {
        return id;
    }

    Job job() {
        return job;
    }

    Gang gang() {
        return gang;
    }

    /** Granted resources of each part. */
    Resources part() {
        return part;
    }

    long startedMs() {
        return startedMs;
    }

    RunEstimate estimate() {
        return estimate;
    }

    /** Expected end in ms since the epoch; may have passed. */
    long expectedEndMs() {
        return startedMs + estimate.runMs();
    }

    /** Longest run time in ms that is paid for. */
    long worstMs() {
        return worstMs;
    }

    void worstMs(long longestMs) {
        worstMs = longestMs;
    }

    Standing standing() {
        return standing;
    }

    GuaranteeUnit unit() {
        return unit;
    }

    void stand(Standing right, GuaranteeUnit guarantee) {
        standing = right;
        unit = guarantee;
    }

    /** Memory in MiB beyond the guarantee's on each run of parts, or null for none. */
    int[] excessMemoryMb() {
        return excessMemoryMb;
    }

    void excessMemoryMb(int[] megabytes) {
        excessMemoryMb = megabytes;
    }

    /** Why it was told to stop, or null. */
    StopCause stopCause() {
        return stopCause;
    }

    boolean stopping() {
        return stopCause != null;
    }

    void stopCause(StopCause cause) {
        stopCause = cause;
    }

    /** Whether it was told to stop without a checkpoint after it was told to save one. */
    boolean stoppedOutright() {
        return stoppedOutright;
    }

    void markStoppedOutright() {
        stoppedOutright = true;
    }

    /** Marks a part as completed and says whether all are. */
    boolean complete(int completedPart) {
        if (completed == null) {
            completed = new BitSet();
        }
        completed.set(completedPart);
        return completed.cardinality() == job.spec().shape().parts();
    }

    boolean completed(int index) {
        return completed != null && completed.get(index);
    }

    int peakMemoryMb() {
        return peakMemoryMb;
    }

    void raisePeakMemory(int megabytes) {
        peakMemoryMb = Math.max(peakMemoryMb, megabytes);
    }

    /** Memory in MiB for each part that was added to the grant after the start. */
    int addedMemoryMb() {
        return addedMemoryMb;
    }

    void addedMemoryMb(int megabytes) {
        addedMemoryMb = megabytes;
    }

    /** Present price for all its accelerators, in millionths of the currency unit for an hour. */
    long rateMicrosPerHour() {
        return rateMicrosPerHour;
    }

    /** Changes the price from a time on. */
    void rate(long microsPerHour, long fromMs) {
        chargedFromMs = fromMs;
        rateMicrosPerHour = microsPerHour;
    }

    /** Price due from one time to another at the present rate, not before that rate applied. */
    long due(long fromMs, long toMs) {
        return Prices.of(rateMicrosPerHour, toMs - Math.max(fromMs, chargedFromMs));
    }

    int accelerators() {
        return job.accelerators();
    }
}

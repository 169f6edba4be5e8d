package org.fuchsiawinch.core.internal;

import java.util.BitSet;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.Resources;

/** A running attempt of a job and the capacity that it uses. Not thread-safe. */
final class Attempt {

    private final AttemptId id;
    private final Job job;
    private final GangPlacement placement;
    private final Resources perPart;
    private final long startedMs;
    private final RunEstimate estimate;
    private Entitlement entitlement;
    private GuaranteeUnit unit;
    private int[] excessMemoryMb;
    private StopCause stopCause;
    private boolean stoppedWithoutCheckpoint;
    private BitSet completed;
    private int peakMemoryMb;
    private int addedMemoryMb;
    private long rateMicrosPerHour;
    private long chargedFromMs;
    private long worstCaseMs;

    Attempt(AttemptId id, Job job, GangPlacement placement, Resources perPart, RunEstimate estimate, long startedMs) {
        this.id = id;
        this.job = job;
        this.placement = placement;
        this.perPart = perPart;
        this.estimate = estimate;
        this.startedMs = startedMs;
        this.chargedFromMs = startedMs;
        this.worstCaseMs = estimate.worstCaseMs();
    }

    AttemptId id() {
        return id;
    }

    Job job() {
        return job;
    }

    GangPlacement placement() {
        return placement;
    }

    /** Returns the granted resources of each part, without memory that was added after the start. */
    Resources perPart() {
        return perPart;
    }

    long startedMs() {
        return startedMs;
    }

    RunEstimate estimate() {
        return estimate;
    }

    /** Returns the expected end in ms since the Unix epoch; may lie in the past. */
    long expectedEndMs() {
        return startedMs + estimate.runMs();
    }

    /** Returns the longest run time in ms whose cost is reserved in the workspace's ledger. */
    long worstCaseMs() {
        return worstCaseMs;
    }

    void worstCaseMs(long longestMs) {
        worstCaseMs = longestMs;
    }

    Entitlement entitlement() {
        return entitlement;
    }

    GuaranteeUnit unit() {
        return unit;
    }

    void entitlement(Entitlement newEntitlement, GuaranteeUnit newUnit) {
        entitlement = newEntitlement;
        unit = newUnit;
    }

    /** Returns the memory in MiB beyond the guarantee for each group of consecutive parts, or null for none. */
    int[] excessMemoryMb() {
        return excessMemoryMb;
    }

    void excessMemoryMb(int[] megabytes) {
        excessMemoryMb = megabytes;
    }

    /** Returns the cause of the pending stop, or null if none is pending. */
    StopCause stopCause() {
        return stopCause;
    }

    boolean stopping() {
        return stopCause != null;
    }

    void stopCause(StopCause cause) {
        stopCause = cause;
    }

    /** Returns whether a stop without checkpoint was requested after a stop with checkpoint. */
    boolean stoppedWithoutCheckpoint() {
        return stoppedWithoutCheckpoint;
    }

    void markStoppedWithoutCheckpoint() {
        stoppedWithoutCheckpoint = true;
    }

    /** Marks a part as completed and returns whether all parts are. */
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

    /** Returns the memory in MiB that was added to the grant of each part after the start. */
    int addedMemoryMb() {
        return addedMemoryMb;
    }

    void addedMemoryMb(int megabytes) {
        addedMemoryMb = megabytes;
    }

    /** Returns the current price of all its accelerators, in millionths of the currency unit per hour. */
    long rateMicrosPerHour() {
        return rateMicrosPerHour;
    }

    /** Changes the price, effective from the given time in ms since the Unix epoch. */
    void changeRate(long microsPerHour, long fromMs) {
        chargedFromMs = fromMs;
        rateMicrosPerHour = microsPerHour;
    }

    /** Returns the charge for the interval at the current rate, leaving out time before that rate took effect. */
    long chargeMicros(long fromMs, long toMs) {
        return Prices.of(rateMicrosPerHour, toMs - Math.max(fromMs, chargedFromMs));
    }

    int accelerators() {
        return job.accelerators();
    }
}

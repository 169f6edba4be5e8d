package org.fuchsiawinch.core.internal;

import java.util.Set;
import java.util.TreeSet;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;

/** A job from submission to its end. Not thread-safe. */
final class Job {

    private final JobSpec spec;
    private final long sequence;
    private final long submittedMs;
    private long orderKey;
    private int attempts;
    private int memoryFloorMb;
    private double savedWorkMs;
    private int failures;
    private Set<WorkerId> failedOn = Set.of();
    private boolean avoidsFailures = true;
    private Attempt attempt;
    private Claim claim;
    private JobClass jobClass;
    private ReasonCode waitCode = ReasonCode.WAIT_CAPACITY;

    Job(JobSpec spec, long sequence, long submittedMs) {
        this.spec = spec;
        this.sequence = sequence;
        this.submittedMs = submittedMs;
        this.orderKey = submittedMs;
    }

    JobSpec spec() {
        return spec;
    }

    /** Returns the position in order of arrival; unchanged when the job returns to the queue. */
    long sequence() {
        return sequence;
    }

    long submittedMs() {
        return submittedMs;
    }

    /** Returns the sort key among jobs of the same urgency; lower starts first. */
    long orderKey() {
        return orderKey;
    }

    void orderKey(long key) {
        orderKey = key;
    }

    /** Returns the number of the latest attempt; 0 if none was started. */
    int attempts() {
        return attempts;
    }

    void attempts(int number) {
        attempts = number;
    }

    /** Returns whether an attempt was started, even if it was withdrawn before it ran. */
    boolean mayHaveRun() {
        return attempts > 0;
    }

    /** Returns the memory in MiB that the next attempt is granted at least for each part; 0 without an overrun. */
    int memoryFloorMb() {
        return memoryFloorMb;
    }

    void raiseMemoryFloor(int megabytes) {
        memoryFloorMb = Math.max(memoryFloorMb, megabytes);
    }

    /** Returns the work saved by checkpoints, in ms on a worker of speed 1.0. */
    double savedWorkMs() {
        return savedWorkMs;
    }

    void addSavedWork(double workMs) {
        savedWorkMs += workMs;
    }

    int failures() {
        return failures;
    }

    /** Returns the workers on which the job has failed. */
    Set<WorkerId> failedOn() {
        return failedOn;
    }

    void addFailure(WorkerId worker) {
        failures++;
        if (failedOn.isEmpty()) {
            failedOn = new TreeSet<>();
        }
        failedOn.add(worker);
    }

    /** Returns the workers that the next attempt must not use. */
    Set<WorkerId> avoid() {
        return avoidsFailures ? failedOn : Set.of();
    }

    /** Sets whether the next attempt avoids the workers on which the job has failed. */
    void avoidsFailures(boolean on) {
        avoidsFailures = on;
    }

    /** Returns the running attempt, or null. */
    Attempt attempt() {
        return attempt;
    }

    void attempt(Attempt current) {
        attempt = current;
    }

    /** Returns the claim that waits for reclaimed capacity, or null. */
    Claim claim() {
        return claim;
    }

    void claim(Claim pending) {
        claim = pending;
    }

    /** Returns the class in which the job is queued, or null. */
    JobClass jobClass() {
        return jobClass;
    }

    void jobClass(JobClass current) {
        jobClass = current;
    }

    ReasonCode waitCode() {
        return waitCode;
    }

    void waitCode(ReasonCode code) {
        waitCode = code;
    }

    int accelerators() {
        return spec.shape().accelerators();
    }

    /** Returns the declared resources of a part with the memory in MiB replaced. */
    Resources partWithMemory(int memoryMb) {
        Resources perPart = spec.shape().perPart();
        if (memoryMb == perPart.memoryMb()) {
            return perPart;
        }
        return new Resources(
                perPart.cpuMillis(), memoryMb, perPart.accelerators(), perPart.slots(), perPart.connections());
    }
}

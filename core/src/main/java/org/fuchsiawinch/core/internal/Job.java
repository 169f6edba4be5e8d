package org.fuchsiawinch.core.internal;

import java.util.Set;
import java.util.TreeSet;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;

/** A job from submit to end. Not thread-safe. */
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

    /** Order of arrival; a job that returns to the queue keeps it. */
    long sequence() {
        return sequence;
    }

    long submittedMs() {
        return submittedMs;
    }

    /** Position among the jobs of one urgency; lower starts first. */
    long orderKey() {
        return orderKey;
    }

    void orderKey(long key) {
        orderKey = key;
    }

    int attempts() {
        return attempts;
    }

    void attempts(int number) {
        attempts = number;
    }

    boolean mayHaveRun() {
        return attempts > 0;
    }

    int memoryFloorMb() {
        return memoryFloorMb;
    }

    void raiseMemoryFloor(int megabytes) {
        memoryFloorMb = Math.max(memoryFloorMb, megabytes);
    }

    /** Work kept by checkpoints, in ms on a worker of speed 1.0. */
    double savedWorkMs() {
        return savedWorkMs;
    }

    void addSavedWork(double workMs) {
        savedWorkMs += workMs;
    }

    int failures() {
        return failures;
    }

    /** Workers that the job has failed on. */
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

    /** Workers that the next attempt must not use. */
    Set<WorkerId> avoid() {
        return avoidsFailures ? failedOn : Set.of();
    }

    void avoidsFailures(boolean on) {
        avoidsFailures = on;
    }

    /** Running attempt, or null. */
    Attempt attempt() {
        return attempt;
    }

    void attempt(Attempt current) {
        attempt = current;
    }

    /** Claim that waits for reclaimed capacity, or null. */
    Claim claim() {
        return claim;
    }

    void claim(Claim pending) {
        claim = pending;
    }

    /** Class in which the job waits, or null. */
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

    /** Declared resources of a part with the given memory. */
    Resources partWithMemory(int memoryMb) {
        Resources part = spec.shape().perPart();
        if (memoryMb == part.memoryMb()) {
            return part;
        }
        return new Resources(part.cpuMillis(), memoryMb, part.accelerators(), part.slots(), part.connections());
    }
}

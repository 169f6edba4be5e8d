package org.fuchsiawinch.protocol.node.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Placement;
import org.fuchsiawinch.model.StopMode;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.protocol.worker.TaskReport;
import org.fuchsiawinch.protocol.worker.TaskState;

/** State of an attempt under way as the cell's owner knows it. Not thread-safe. */
final class AttemptView {

    /** Progress of the attempt. */
    enum Phase {
        /** Its placement record is not read back yet. */
        PLACING,
        /** Its parts are being prepared. */
        PREPARING,
        /** Its release record is not read back yet. */
        RELEASING,
        /** Its parts are being released or are running. */
        RUNNING,
        /** Its parts are being stopped. */
        STOPPING,
        /** Its end record is not read back yet. */
        ENDING
    }

    private final AttemptId id;
    private final JobSpec job;
    private final List<Placement> placements;
    private final Map<Integer, TaskReport> reports = new HashMap<>();
    private final Map<Integer, Boolean> notifiedParts = new HashMap<>();
    private final Map<Integer, Boolean> goneParts = new HashMap<>();
    private Phase phase;
    private long startByMs;
    private boolean runningNotified;
    private StopMode stopMode = StopMode.STOP;
    private boolean released;
    private boolean stopRequested;
    private long lastStopMs;
    private long lastPrepareMs;
    private byte[] payload = new byte[0];
    private boolean releasePending;

    AttemptView(AttemptId id, JobSpec job, List<Placement> placements, Phase phase) {
        this.id = id;
        this.job = job;
        this.placements = placements;
        this.phase = phase;
    }

    AttemptId id() {
        return id;
    }

    JobSpec job() {
        return job;
    }

    List<Placement> placements() {
        return placements;
    }

    Phase phase() {
        return phase;
    }

    void phase(Phase value) {
        phase = value;
    }

    /** Returns the Unix time in ms by which its parts must be accepted; 0 until its placement record is read back. */
    long startByMs() {
        return startByMs;
    }

    void startByMs(long value) {
        startByMs = value;
    }

    boolean released() {
        return released;
    }

    void released(boolean value) {
        released = value;
    }

    StopMode stopMode() {
        return stopMode;
    }

    void stop(StopMode mode) {
        phase = Phase.STOPPING;
        stopMode = mode;
        stopRequested = true;
    }

    boolean stopRequested() {
        return stopRequested;
    }

    /** Returns whether stop commands are due; if so, restarts the interval. */
    boolean stopDue(long nowMs, long intervalMs) {
        if (nowMs - lastStopMs < intervalMs) {
            return false;
        }
        lastStopMs = nowMs;
        return true;
    }

    /** Records that the scheduler is notified of the running attempt. Returns false if it already was. */
    boolean markRunningNotified() {
        boolean first = !runningNotified;
        runningNotified = true;
        return first;
    }

    /** Records that the scheduler is notified of a part's end. Returns false if it already was. */
    boolean markNotified(int part) {
        return notifiedParts.put(part, Boolean.TRUE) == null;
    }

    void report(TaskReport report) {
        reports.put(report.task().part(), report);
    }

    byte[] payload() {
        return payload;
    }

    void payload(byte[] value) {
        payload = value;
    }

    /** Returns whether its release record was appended but not read back yet. */
    boolean releasePending() {
        return releasePending;
    }

    void releasePending(boolean value) {
        releasePending = value;
    }

    /** Returns whether prepare commands are due; if so, restarts the interval. */
    boolean prepareDue(long nowMs, long intervalMs) {
        if (nowMs - lastPrepareMs < intervalMs) {
            return false;
        }
        lastPrepareMs = nowMs;
        return true;
    }

    boolean hasPartOn(WorkerId worker) {
        return placements.stream().anyMatch(placement -> placement.worker().equals(worker));
    }

    boolean isGang() {
        return placements.size() > 1;
    }

    /** Records a stop request that came too late to change how the attempt ends. */
    void recordLateStop() {
        stopRequested = true;
    }

    /** Records that a part does not exist on its worker or that the worker is lost. */
    void markGone(int part) {
        goneParts.put(part, Boolean.TRUE);
    }

    Optional<TaskReport> report(int part) {
        return Optional.ofNullable(reports.get(part));
    }

    boolean isPlacedOn(int part, WorkerId worker) {
        return part < placements.size() && placements.get(part).worker().equals(worker);
    }

    boolean allInState(TaskState state) {
        return placements.stream().allMatch(placement -> report(placement.part())
                .filter(report -> report.state() == state)
                .isPresent());
    }

    /** Returns whether every part was reported by its worker and has not ended. */
    boolean allAccepted() {
        return placements.stream()
                .allMatch(placement -> report(placement.part()).isPresent() && !ended(placement.part()));
    }

    /** Returns whether every part was reported as running or ended. */
    boolean allReleased() {
        return placements.stream().allMatch(placement -> report(placement.part())
                .filter(report -> report.state() != TaskState.PREPARED)
                .isPresent());
    }

    boolean ended(int part) {
        return goneParts.containsKey(part)
                || report(part).filter(report -> report.state().ended()).isPresent();
    }

    boolean allEnded() {
        return placements.stream().allMatch(placement -> ended(placement.part()));
    }

    /** Returns whether every part has saved its progress or completed. */
    boolean allCheckpointed() {
        return placements.stream().allMatch(placement -> report(placement.part())
                .filter(report -> report.state() == TaskState.CHECKPOINTED || report.state() == TaskState.COMPLETED)
                .isPresent());
    }
}

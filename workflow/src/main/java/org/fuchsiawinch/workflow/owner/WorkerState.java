package org.fuchsiawinch.workflow.owner;

import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.job.TaskRun;

/** State that the owner keeps of one worker. Not thread-safe. */
final class WorkerState {

    /** Silence in ms after which a worker gets no new work; a renewal waits up to 2 s. */
    private static final long MAX_SILENCE_MS = 2800;

    /** Time in ms after which a renewal that acknowledges ends is overdue; the worker answers it without a wait. */
    private static final long MAX_ACKNOWLEDGEMENT_MS = 250;

    /** A time in ms before all others; half the minimum, so that differences do not overflow. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    final WorkerId id;
    final Map<TaskRun, ActiveRun> runs = new LinkedHashMap<>();
    final WorkerHealth health = new WorkerHealth();
    WorkerRegistration registration;

    /** Whether the platform lists the worker. */
    boolean listed;

    /** Whether nothing more may start on the worker, as the operators drain its data centre. */
    boolean drained;

    /** Whether a renewal is in flight. */
    boolean renewing;

    /** Whether the last renewal failed. */
    boolean renewalFailing;

    long nextRenewalMs;

    /** Whether the worker has answered a renewal of this owner. */
    boolean contacted;

    long incarnation;

    /** Last reported time in ms on the worker's clock. */
    long clockMs;

    /** Time in ms on the owner's clock at which that report arrived. */
    long clockReadMs;

    long clockSentMs;

    /** Latest end in ms of a lease granted to the worker, on the worker's clock. */
    long leaseEndMs;

    /** Time in ms at which an order that carries a lease was last sent. */
    long lastLeaseSentMs;

    long lastContactMs;

    /** Highest sequence number of an ended run that was processed. */
    long seenSequence;

    /** Highest sequence number of an ended run that is stored and may be acknowledged. */
    long acknowledgedSequence;

    /** Sequence number that the renewal in flight acknowledges; 0 for none. */
    long sentAcknowledgement;

    /** Highest acknowledged sequence number that the present incarnation has received. */
    long confirmedAcknowledgement;

    /** Time in ms at which the renewal in flight was sent. */
    long renewalSentMs;

    /** Time in ms at which the last renewal that acknowledged ends and was not answered was sent. */
    private long unansweredAcknowledgementMs = NEVER_MS;

    /** Time in ms from which on the present incarnation may get work. */
    private long usableFromMs = NEVER_MS;

    /** Start orders without an answer, also of runs that have ended. */
    final UnansweredStarts unansweredStarts = new UnansweredStarts();

    Resources used = Resources.NONE;

    private final RunIndex runIndex;
    private int runChanges;

    WorkerState(WorkerId id, RunIndex runIndex, long nowMs) {
        this.id = id;
        this.runIndex = runIndex;
        this.lastContactMs = nowMs;
    }

    void add(ActiveRun run) {
        runs.put(run.id, run);
        runIndex.add(run);
        runChanges++;
        used = used.plus(run.need);
    }

    void remove(ActiveRun run) {
        if (runs.remove(run.id) != null) {
            runIndex.remove(run);
            runChanges++;
            used = used.minus(run.need);
        }
    }

    /** Records that a run is being stopped, so that its capacity becomes free. */
    void runStopping() {
        runChanges++;
    }

    /** Returns a number that differs whenever runs were added, removed or stopped in between. */
    int runChanges() {
        return runChanges;
    }

    long runCount(ActiveRun.Stage stage) {
        return runs.values().stream().filter(run -> run.stage == stage).count();
    }

    Resources free() {
        return registration.capacity().minus(used);
    }

    /** Returns whether the worker has not answered yet, or has been silent for too long to get new work. */
    boolean silent(long nowMs) {
        return !contacted || silentMs(nowMs) > MAX_SILENCE_MS;
    }

    /** Returns whether the worker may get new work. */
    boolean usable(long nowMs) {
        return reachable(nowMs) && !health.quarantined(nowMs);
    }

    /** Returns whether the worker may get new work, apart from its quarantine. */
    boolean reachable(long nowMs) {
        return contacted
                && accepts()
                && nowMs >= usableFromMs
                && nowMs - lastContactMs <= MAX_SILENCE_MS
                && !acknowledgementInDoubt(nowMs);
    }

    /**
     * Returns whether a renewal that acknowledges ends is unanswered and no answer has come since. The worker may have
     * restarted; its next process would forget ends of its own by that renewal, before this owner has seen them.
     */
    private boolean acknowledgementInDoubt(long nowMs) {
        boolean overdue = renewing && sentAcknowledgement > 0 && nowMs - renewalSentMs > MAX_ACKNOWLEDGEMENT_MS;
        return overdue || unansweredAcknowledgementMs > lastContactMs;
    }

    /** Returns whether the process that has answered last is registered, and neither it nor its data centre drains. */
    private boolean accepts() {
        return listed && !drained && !registration.leaving() && registration.describes(incarnation);
    }

    /** Returns whether a run may still be started: nothing has changed that its assignment relies on. */
    boolean accepts(ActiveRun run, long nowMs) {
        return accepts() && run.assignedToPresentProcess() && !acknowledgementInDoubt(nowMs);
    }

    /**
     * Returns the end of a lease that starts now, on the worker's clock as extrapolated from its last report. The clock
     * may be ahead of this estimate by the delay of the report, or behind it by its drift.
     */
    long newLeaseEndMs(long leaseMs, long nowMs) {
        return clockMs + (nowMs - clockReadMs) + leaseMs;
    }

    /** Returns whether the worker's lease has certainly expired, even if its clock runs slow by the maximum drift. */
    boolean leaseExpired(long nowMs) {
        return contacted && clockMs + (nowMs - clockReadMs) * (1 - OwnerSettings.CLOCK_DRIFT) > leaseEndMs;
    }

    /** Returns the time in ms until the worker's lease has certainly expired; not positive if it has. */
    long leaseRestMs(long nowMs) {
        return (long) Math.ceil((leaseEndMs - clockMs) / (1 - OwnerSettings.CLOCK_DRIFT)) - (nowMs - clockReadMs);
    }

    /** Returns the time in ms since the worker's last answer, or since the owner learned of it if it gave none. */
    long silentMs(long nowMs) {
        return nowMs - lastContactMs;
    }

    /**
     * Returns the estimated rest of the lease in ms on the worker's clock for the log; negative once it is over, and
     * {@code none} if this owner has granted no lease to the present process of the worker.
     */
    String leaseLeftText(long nowMs) {
        return leaseEndMs == 0 ? "none" : Long.toString(leaseEndMs - newLeaseEndMs(0, nowMs));
    }

    void extendLease(long endMs) {
        leaseEndMs = Math.max(leaseEndMs, endMs);
    }

    /** Records that an order with a lease up to a time in ms on the worker's clock is being sent. */
    void leaseSent(long endMs, long nowMs) {
        extendLease(endMs);
        lastLeaseSentMs = nowMs;
    }

    /**
     * Returns whether every lease has certainly expired even if the worker has restarted unnoticed. On the clock of its
     * next incarnation the end of a lease means another time; the worker then limits the lease to the longest one.
     */
    boolean longestLeaseExpired(long longestLeaseMs, long nowMs) {
        return (nowMs - lastLeaseSentMs) * (1 - OwnerSettings.CLOCK_DRIFT) > longestLeaseMs;
    }

    void readClock(long reportedMs, long nowMs) {
        clockMs = reportedMs;
        clockReadMs = nowMs;
        lastContactMs = nowMs;
    }

    /** Returns whether the worker has reported ends whose acknowledgement it has not confirmed. */
    boolean hasUnacknowledgedEnds() {
        return seenSequence > confirmedAcknowledgement;
    }

    /** Records that the renewal in flight was not answered; it may still be carried out. */
    void renewalUnanswered() {
        if (sentAcknowledgement > 0) {
            unansweredAcknowledgementMs = renewalSentMs;
        }
    }

    /** Returns whether no renewal that was not answered can acknowledge ends any more. */
    boolean acknowledgementsSettled(long nowMs) {
        return nowMs - unansweredAcknowledgementMs > UnansweredStarts.MAX_ORDER_DELAY_MS;
    }

    /** Returns the time in ms until the present incarnation may get work; 0 if it may. */
    long workDelayMs(long nowMs) {
        return Math.max(0, usableFromMs - nowMs);
    }

    /** Records that the present incarnation has answered the renewal in flight. */
    void acknowledgementConfirmed() {
        confirmedAcknowledgement = Math.max(confirmedAcknowledgement, sentAcknowledgement);
    }

    /**
     * Clears the state that belongs to an earlier process of the worker. The new process gets no work while it may
     * still carry out an acknowledgement for the earlier one: it would forget ends of its own that no owner has seen.
     */
    void startIncarnation(long newIncarnation, long nowMs) {
        if (!acknowledgementsSettled(nowMs)) {
            usableFromMs = unansweredAcknowledgementMs + UnansweredStarts.MAX_ORDER_DELAY_MS;
        }
        contacted = true;
        incarnation = newIncarnation;
        leaseEndMs = 0;
        seenSequence = 0;
        acknowledgedSequence = 0;
        sentAcknowledgement = 0;
        confirmedAcknowledgement = 0;
        health.reset();
    }
}

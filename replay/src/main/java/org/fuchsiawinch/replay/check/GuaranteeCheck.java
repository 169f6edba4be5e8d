package org.fuchsiawinch.replay.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.replay.engine.ProtocolTimes;
import org.fuchsiawinch.replay.history.HistoryEvent;

/**
 * Tracks each job that its workspace's unused guarantee covers from submit to start, and finds those that do not start
 * within the reclaim bound. The bound restarts after a log outage and after the loss of a worker on which a start or
 * stop was in progress.
 */
final class GuaranteeCheck implements HistoryCheck {

    private final Map<JobId, JobSpec> openJobs = new LinkedHashMap<>();
    private final Map<JobId, PendingStart> pendingStarts = new LinkedHashMap<>();
    private final Map<AttemptId, Set<WorkerId>> pendingActionWorkers = new HashMap<>();
    private final Map<AttemptId, Set<WorkerId>> placedWorkers = new HashMap<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private final List<GuaranteedStart> starts = new ArrayList<>();
    private final ReclaimFeasibility feasibility = new ReclaimFeasibility();
    private final SpendLedger spend = new SpendLedger();
    private Policy policy;

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        checkDeadlines(event.atMs(), report);
        feasibility.onEvent(event);
        spend.onEvent(event);
        if (event instanceof HistoryEvent.PolicyInForce inForce) {
            policy = inForce.policy();
        } else if (event instanceof HistoryEvent.JobSubmitted submitted) {
            jobSubmitted(submitted);
        } else if (event instanceof HistoryEvent.JobCancelRequested cancel) {
            cancelled.add(cancel.job());
            pendingStarts.remove(cancel.job());
        } else if (event instanceof HistoryEvent.StartDecided start) {
            startDecided(start);
        } else if (event instanceof HistoryEvent.StopDecided stop) {
            pendingActionWorkers.put(stop.attempt(), placedWorkers.getOrDefault(stop.attempt(), Set.of()));
        } else if (event instanceof HistoryEvent.PartStarted started) {
            partStarted(started);
        } else if (event instanceof HistoryEvent.AttemptClosed closed) {
            pendingActionWorkers.remove(closed.attempt());
            placedWorkers.remove(closed.attempt());
        } else if (event instanceof HistoryEvent.WorkerDown down) {
            extendAfterLoss(down);
        } else if (event instanceof HistoryEvent.LogUp up) {
            pendingStarts.values().forEach(pending -> pending.extendDeadline(up.atMs() + pending.boundMs));
        } else if (event instanceof HistoryEvent.ResultDelivered result) {
            closeJob(result.job());
        } else if (event instanceof HistoryEvent.JobEndReported ended) {
            jobEnded(ended, report);
        }
    }

    @Override
    public void finish(long endMs, Consumer<Violation> report) {
        checkDeadlines(endMs, report);
        pendingStarts.forEach((job, pending) -> {
            if (pending.evaluated) {
                starts.add(pending.startedAt(job, endMs));
            }
        });
    }

    List<GuaranteedStart> starts() {
        return starts;
    }

    private void jobSubmitted(HistoryEvent.JobSubmitted submitted) {
        JobSpec job = submitted.spec();
        List<Shape> others = openJobs.values().stream()
                .filter(other -> other.workspace().equals(job.workspace()))
                .map(JobSpec::shape)
                .toList();
        openJobs.put(job.id(), job);
        WorkspacePolicy rules = policy == null ? null : policy.workspaces().get(job.workspace());
        if (rules != null && GuaranteeCoverage.unusedShapeCovers(rules, job.shape(), others)) {
            pendingStarts.put(
                    job.id(),
                    new PendingStart(submitted.atMs(), policy.lending().reclaimBoundMs()));
        }
    }

    private void startDecided(HistoryEvent.StartDecided start) {
        Set<WorkerId> workers = new HashSet<>();
        start.placements().forEach(placement -> workers.add(placement.worker()));
        placedWorkers.put(start.attempt(), workers);
        pendingActionWorkers.put(start.attempt(), workers);
    }

    private void partStarted(HistoryEvent.PartStarted started) {
        AttemptId attempt = started.task().attempt();
        pendingActionWorkers.remove(attempt);
        PendingStart pending = pendingStarts.remove(attempt.job());
        if (pending != null) {
            starts.add(pending.startedAt(attempt.job(), started.atMs()));
        }
    }

    private void extendAfterLoss(HistoryEvent.WorkerDown down) {
        boolean affected = pendingActionWorkers.values().stream().anyMatch(workers -> workers.contains(down.worker()));
        if (affected) {
            long leaseEndMs = down.atMs() + ProtocolTimes.LEASE_MS;
            pendingStarts.values().forEach(pending -> pending.extendDeadline(leaseEndMs + pending.boundMs));
        }
    }

    private void jobEnded(HistoryEvent.JobEndReported ended, Consumer<Violation> report) {
        JobSpec job = openJobs.get(ended.job());
        PendingStart pending = pendingStarts.remove(ended.job());
        closeJob(ended.job());
        if (pending == null || pending.evaluated || job == null || cancelled.contains(ended.job())) {
            return;
        }
        if (!endIsJustified(job, ended)) {
            report.accept(Violation.ofJob(Promise.GUARANTEE_RECLAIMABLE, ended.atMs(), ended.job()));
        }
    }

    private boolean endIsJustified(JobSpec job, HistoryEvent.JobEndReported ended) {
        if (ended.code() == ReasonCode.END_DEADLINE) {
            return job.deadlineMs().isPresent()
                    && ended.atMs() >= job.deadlineMs().getAsLong();
        }
        if (ended.code() == ReasonCode.END_IMPOSSIBLE_SHAPE) {
            return !feasibility.fitsIdleWorkers(job.shape());
        }
        return ended.code() == ReasonCode.END_OVER_SPEND_LIMIT && spendLimitForbids(job, ended.atMs());
    }

    private void closeJob(JobId job) {
        openJobs.remove(job);
        pendingStarts.remove(job);
    }

    private void checkDeadlines(long nowMs, Consumer<Violation> report) {
        for (Map.Entry<JobId, PendingStart> entry : pendingStarts.entrySet()) {
            PendingStart pending = entry.getValue();
            if (pending.evaluated || nowMs <= pending.deadlineMs) {
                continue;
            }
            JobSpec job = openJobs.get(entry.getKey());
            pending.evaluated = true;
            pending.excused = !feasibility.fitsAfterReclaim(job.shape())
                    || spendLimitForbids(job, pending.deadlineMs)
                    || quotaForbids(job);
            if (!pending.excused) {
                report.accept(Violation.ofJob(Promise.GUARANTEE_RECLAIMABLE, pending.deadlineMs, job.id()));
            }
        }
    }

    private boolean spendLimitForbids(JobSpec job, long nowMs) {
        WorkspacePolicy rules = policy.workspaces().get(job.workspace());
        if (rules == null || rules.spendLimitMicros().isEmpty()) {
            return false;
        }
        double sum = spend.worstCaseMicros(job.workspace(), nowMs) + spend.worstCaseMicros(job);
        return sum > rules.spendLimitMicros().getAsLong();
    }

    private boolean quotaForbids(JobSpec job) {
        WorkspacePolicy rules = policy.workspaces().get(job.workspace());
        int nonReclaimable = feasibility.nonReclaimableAccelerators(job.workspace());
        return rules != null && nonReclaimable + job.shape().accelerators() > rules.acceleratorQuota();
    }

    /** Guaranteed job that has not started yet. */
    private static final class PendingStart {
        private final long submittedMs;
        private final long boundMs;
        private long deadlineMs;
        private boolean evaluated;
        private boolean excused;

        private PendingStart(long submittedMs, long boundMs) {
            this.submittedMs = submittedMs;
            this.boundMs = boundMs;
            this.deadlineMs = submittedMs + boundMs;
        }

        private void extendDeadline(long deadline) {
            excused = true;
            deadlineMs = Math.max(deadlineMs, deadline);
        }

        private GuaranteedStart startedAt(JobId job, long atMs) {
            long delayMs = atMs - submittedMs;
            return new GuaranteedStart(job, delayMs, boundMs, excused && delayMs > boundMs);
        }
    }
}

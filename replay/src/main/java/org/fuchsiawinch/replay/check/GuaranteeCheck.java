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
 * Follows each submit that its workspace's unused guarantee covers until it starts, and judges a start that doesn't
 * come within the reclaim bound. The bound runs anew after a log outage and after the loss of a worker on which the
 * start or a stop for it was under way.
 */
final class GuaranteeCheck implements HistoryCheck {

    private final Map<JobId, JobSpec> open = new LinkedHashMap<>();
    private final Map<JobId, Claim> claims = new LinkedHashMap<>();
    private final Map<AttemptId, Set<WorkerId>> underWay = new HashMap<>();
    private final Map<AttemptId, Set<WorkerId>> placed = new HashMap<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private final List<GuaranteedStart> starts = new ArrayList<>();
    private final ShapeWitness witness = new ShapeWitness();
    private final SpendLedger spend = new SpendLedger();
    private Policy policy;

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        expire(event.atMs(), report);
        witness.onEvent(event);
        spend.onEvent(event);
        if (event instanceof HistoryEvent.PolicyInForce inForce) {
            policy = inForce.policy();
        } else if (event instanceof HistoryEvent.JobSubmitted submitted) {
            submit(submitted);
        } else if (event instanceof HistoryEvent.JobCancelRequested cancel) {
            cancelled.add(cancel.job());
            claims.remove(cancel.job());
        } else if (event instanceof HistoryEvent.StartDecided start) {
            decideStart(start);
        } else if (event instanceof HistoryEvent.StopDecided stop) {
            underWay.put(stop.attempt(), placed.getOrDefault(stop.attempt(), Set.of()));
        } else if (event instanceof HistoryEvent.PartStarted started) {
            start(started);
        } else if (event instanceof HistoryEvent.AttemptClosed closed) {
            underWay.remove(closed.attempt());
            placed.remove(closed.attempt());
        } else if (event instanceof HistoryEvent.WorkerDown down) {
            renewAfterLoss(down);
        } else if (event instanceof HistoryEvent.LogUp up) {
            claims.values().forEach(claim -> claim.renew(up.atMs() + claim.boundMs));
        } else if (event instanceof HistoryEvent.ResultDelivered result) {
            close(result.job());
        } else if (event instanceof HistoryEvent.JobEndReported told) {
            end(told, report);
        }
    }

    @Override
    public void finish(long endMs, Consumer<Violation> report) {
        expire(endMs, report);
        claims.forEach((job, claim) -> {
            if (claim.judged) {
                starts.add(claim.startedAt(job, endMs));
            }
        });
    }

    List<GuaranteedStart> starts() {
        return starts;
    }

    private void submit(HistoryEvent.JobSubmitted submitted) {
        JobSpec job = submitted.spec();
        List<Shape> others = open.values().stream()
                .filter(other -> other.workspace().equals(job.workspace()))
                .map(JobSpec::shape)
                .toList();
        open.put(job.id(), job);
        WorkspacePolicy rules = policy == null ? null : policy.workspaces().get(job.workspace());
        if (rules != null && GuaranteeCoverage.leftFor(rules, job.shape(), others)) {
            claims.put(job.id(), new Claim(submitted.atMs(), policy.lending().reclaimBoundMs()));
        }
    }

    private void decideStart(HistoryEvent.StartDecided start) {
        Set<WorkerId> workers = new HashSet<>();
        start.placements().forEach(placement -> workers.add(placement.worker()));
        placed.put(start.attempt(), workers);
        underWay.put(start.attempt(), workers);
    }

    private void start(HistoryEvent.PartStarted started) {
        AttemptId attempt = started.task().attempt();
        underWay.remove(attempt);
        Claim claim = claims.remove(attempt.job());
        if (claim != null) {
            starts.add(claim.startedAt(attempt.job(), started.atMs()));
        }
    }

    private void renewAfterLoss(HistoryEvent.WorkerDown down) {
        boolean disturbed = underWay.values().stream().anyMatch(workers -> workers.contains(down.worker()));
        if (disturbed) {
            long leaseOverMs = down.atMs() + ProtocolTimes.LEASE_MS;
            claims.values().forEach(claim -> claim.renew(leaseOverMs + claim.boundMs));
        }
    }

    private void end(HistoryEvent.JobEndReported told, Consumer<Violation> report) {
        JobSpec job = open.get(told.job());
        Claim claim = claims.remove(told.job());
        close(told.job());
        if (claim == null || claim.judged || job == null || cancelled.contains(told.job())) {
            return;
        }
        if (!rightlyEnded(job, told)) {
            report.accept(Violation.ofJob(Promise.GUARANTEE_RECLAIMABLE, told.atMs(), told.job()));
        }
    }

    private boolean rightlyEnded(JobSpec job, HistoryEvent.JobEndReported told) {
        if (told.code() == ReasonCode.END_DEADLINE) {
            return job.deadlineMs().isPresent()
                    && told.atMs() >= job.deadlineMs().getAsLong();
        }
        if (told.code() == ReasonCode.END_IMPOSSIBLE_SHAPE) {
            return !witness.fitsEmpty(job.shape());
        }
        return told.code() == ReasonCode.END_OVER_SPEND_LIMIT && spendForbids(job, told.atMs());
    }

    private void close(JobId job) {
        open.remove(job);
        claims.remove(job);
    }

    private void expire(long nowMs, Consumer<Violation> report) {
        for (Map.Entry<JobId, Claim> entry : claims.entrySet()) {
            Claim claim = entry.getValue();
            if (claim.judged || nowMs <= claim.deadlineMs) {
                continue;
            }
            JobSpec job = open.get(entry.getKey());
            claim.judged = true;
            claim.excused = !witness.fits(job.shape()) || spendForbids(job, claim.deadlineMs) || quotaForbids(job);
            if (!claim.excused) {
                report.accept(Violation.ofJob(Promise.GUARANTEE_RECLAIMABLE, claim.deadlineMs, job.id()));
            }
        }
    }

    private boolean spendForbids(JobSpec job, long nowMs) {
        WorkspacePolicy rules = policy.workspaces().get(job.workspace());
        if (rules == null || rules.spendLimitMicros().isEmpty()) {
            return false;
        }
        double sum = spend.worstCaseMicros(job.workspace(), nowMs) + spend.worstCaseMicros(job);
        return sum > rules.spendLimitMicros().getAsLong();
    }

    private boolean quotaForbids(JobSpec job) {
        WorkspacePolicy rules = policy.workspaces().get(job.workspace());
        int held = witness.heldForGood(job.workspace());
        return rules != null && held + job.shape().accelerators() > rules.acceleratorQuota();
    }

    /** A guaranteed submit that hasn't started. */
    private static final class Claim {
        private final long submittedMs;
        private final long boundMs;
        private long deadlineMs;
        private boolean judged;
        private boolean excused;

        private Claim(long submittedMs, long boundMs) {
            this.submittedMs = submittedMs;
            this.boundMs = boundMs;
            this.deadlineMs = submittedMs + boundMs;
        }

        private void renew(long deadline) {
            excused = true;
            deadlineMs = Math.max(deadlineMs, deadline);
        }

        private GuaranteedStart startedAt(JobId job, long atMs) {
            long delayMs = atMs - submittedMs;
            return new GuaranteedStart(job, delayMs, boundMs, excused && delayMs > boundMs);
        }
    }
}

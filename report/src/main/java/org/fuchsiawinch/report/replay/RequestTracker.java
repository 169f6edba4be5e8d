package org.fuchsiawinch.report.replay;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.replay.check.SpendLedger;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.report.records.JobOutcome;
import org.fuchsiawinch.report.records.JobRecord;

/**
 * Tracks each caller's request across refusals and resubmissions. The last outcome counts, except that a completion is
 * final. Not thread-safe.
 */
final class RequestTracker {

    private static final Set<ReasonCode> REFUSAL_CODES = EnumSet.of(
            ReasonCode.END_WORKSPACE_QUEUE_FULL,
            ReasonCode.END_SYSTEM_QUEUE_FULL,
            ReasonCode.END_OVER_SPEND_LIMIT,
            ReasonCode.END_DEADLINE,
            ReasonCode.END_IMPOSSIBLE_SHAPE,
            ReasonCode.END_OVER_QUOTA,
            ReasonCode.END_UNKNOWN_WORKSPACE);

    private final Map<JobId, Request> byOriginalId = new LinkedHashMap<>();
    private final Map<JobId, Request> byId = new HashMap<>();
    private HistoryEvent.PolicyInForce policyInForce;

    /** State of one request. */
    private static final class Request {

        private final HistoryEvent.JobSubmitted firstSubmission;
        private final SpendLedger spend = new SpendLedger();
        private final List<JobId> jobIds = new ArrayList<>();
        private OptionalLong startedMs = OptionalLong.empty();
        private OptionalLong endedMs = OptionalLong.empty();
        private JobOutcome outcome = JobOutcome.UNKNOWN;
        private boolean cancelled;

        Request(HistoryEvent.JobSubmitted submitted) {
            this.firstSubmission = submitted;
        }

        void recordOutcome(long atMs, JobOutcome latest) {
            if (outcome != JobOutcome.COMPLETED) {
                endedMs = OptionalLong.of(atMs);
                outcome = latest;
            }
        }
    }

    void apply(HistoryEvent event) {
        if (event instanceof HistoryEvent.PolicyInForce inForce) {
            policyInForce = inForce;
            byOriginalId.values().forEach(request -> request.spend.onEvent(inForce));
        } else if (event instanceof HistoryEvent.JobSubmitted submitted) {
            onSubmitted(submitted);
        } else if (event instanceof HistoryEvent.JobCancelRequested cancel) {
            byId.get(cancel.job()).cancelled = true;
        } else if (event instanceof HistoryEvent.StartDecided start) {
            byId.get(start.attempt().job()).spend.onEvent(event);
        } else if (event instanceof HistoryEvent.AttemptPromoted promoted) {
            byId.get(promoted.attempt().job()).spend.onEvent(event);
        } else if (event instanceof HistoryEvent.PartStarted started) {
            onPartStarted(started);
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            byId.get(ended.task().attempt().job()).spend.onEvent(event);
        } else if (event instanceof HistoryEvent.ResultDelivered result) {
            byId.get(result.job()).recordOutcome(result.atMs(), JobOutcome.COMPLETED);
        } else if (event instanceof HistoryEvent.JobEndReported reported) {
            onJobEndReported(reported);
        }
    }

    private void onSubmitted(HistoryEvent.JobSubmitted submitted) {
        Request request = byOriginalId.computeIfAbsent(submitted.originalId(), id -> new Request(submitted));
        byId.put(submitted.spec().id(), request);
        request.jobIds.add(submitted.spec().id());
        // The ledger of a new request has not received the policy in force.
        if (policyInForce != null) {
            request.spend.onEvent(policyInForce);
        }
        request.spend.onEvent(submitted);
    }

    private void onPartStarted(HistoryEvent.PartStarted started) {
        Request request = byId.get(started.task().attempt().job());
        request.spend.onEvent(started);
        if (request.startedMs.isEmpty()) {
            request.startedMs = OptionalLong.of(started.atMs());
        }
    }

    private void onJobEndReported(HistoryEvent.JobEndReported reported) {
        Request request = byId.get(reported.job());
        if (request.cancelled) {
            request.recordOutcome(reported.atMs(), JobOutcome.CANCELLED);
        } else if (REFUSAL_CODES.contains(reported.code())) {
            request.recordOutcome(reported.atMs(), JobOutcome.REFUSED);
        } else if (reported.ran() && request.startedMs.isPresent()) {
            request.recordOutcome(reported.atMs(), JobOutcome.FAILED);
        } else {
            request.recordOutcome(reported.atMs(), reported.ran() ? JobOutcome.UNKNOWN : JobOutcome.NOT_RUN);
        }
    }

    /** Returns a record for each request that has an outcome, in the order of their first submissions. */
    List<JobRecord> records(Set<JobId> guaranteed) {
        List<JobRecord> records = new ArrayList<>();
        for (Request request : byOriginalId.values()) {
            if (request.endedMs.isPresent()) {
                records.add(record(request, request.jobIds.stream().anyMatch(guaranteed::contains)));
            }
        }
        return records;
    }

    private static JobRecord record(Request request, boolean guaranteed) {
        double micros = request.spend.spentMicros().values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        return new JobRecord(
                request.firstSubmission.originalId().value(),
                request.firstSubmission.spec().workspace(),
                request.firstSubmission.spec().kind(),
                guaranteed,
                request.firstSubmission.firstSubmitMs(),
                request.startedMs,
                request.endedMs.getAsLong(),
                request.outcome,
                request.outcome != JobOutcome.UNKNOWN,
                Math.round(micros));
    }
}

package org.fuchsiawinch.replay.measure;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.replay.check.ShapePacker;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.history.PartEnd;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;
import org.fuchsiawinch.replay.trace.TraceJob;

/**
 * Tracks each caller's request across refusals and resubmissions. Completion times cover the same requests for every
 * policy: those that are not cancelled, do not always fail and fit the trace's workers. A request broken by a lost or
 * failing worker counts with the time until its caller was notified, as no policy can prevent that. Any other request
 * without a result counts with the time up to the horizon, so that a policy gains nothing by refusing or abandoning
 * jobs. Not thread-safe.
 */
final class RequestTracker {

    private static final Set<ReasonCode> REFUSALS = EnumSet.of(
            ReasonCode.END_WORKSPACE_QUEUE_FULL,
            ReasonCode.END_SYSTEM_QUEUE_FULL,
            ReasonCode.END_OVER_SPEND_LIMIT,
            ReasonCode.END_DEADLINE);
    private static final Set<ReasonCode> IMPOSSIBLE = EnumSet.of(
            ReasonCode.END_IMPOSSIBLE_SHAPE,
            ReasonCode.END_OVER_QUOTA,
            ReasonCode.END_POISON,
            ReasonCode.END_UNKNOWN_WORKSPACE);
    /** Share of the largest request's accelerators from which a request counts among the largest. */
    private static final double LARGE_REQUEST_SHARE = 0.5;

    private final long horizonMs;
    private final Map<JobId, Request> requests = new LinkedHashMap<>();
    private final Map<JobId, JobId> originals = new HashMap<>();
    private int retries;

    RequestTracker(Trace trace) {
        horizonMs = trace.horizonMs();
        Map<WorkerSpec, Resources> empty = new LinkedHashMap<>();
        for (TraceEvent event : trace.events()) {
            if (event instanceof TraceEvent.WorkerJoins joins) {
                empty.put(joins.worker(), joins.worker().capacity());
            }
        }
        for (TraceEvent event : trace.events()) {
            if (event instanceof TraceEvent.Submit submit) {
                boolean possible = ShapePacker.copies(empty, submit.job().spec().shape()) > 0;
                requests.put(submit.job().spec().id(), new Request(submit.job(), submit.atMs(), possible));
            } else if (event instanceof TraceEvent.Cancel cancel) {
                requests.get(cancel.job()).cancelled = true;
            }
        }
    }

    void onEvent(HistoryEvent event) {
        if (event instanceof HistoryEvent.JobSubmitted submitted) {
            originals.put(submitted.spec().id(), submitted.originalId());
            retries += submitted.spec().id().equals(submitted.originalId()) ? 0 : 1;
        } else if (event instanceof HistoryEvent.SubmitDeferred) {
            retries++;
        } else if (event instanceof HistoryEvent.PartStarted started) {
            Request request = request(started.task().attempt().job());
            request.startedMs = Math.min(request.startedMs, started.atMs());
        } else if (event instanceof HistoryEvent.PartEnded ended) {
            request(ended.task().attempt().job()).partFailed |=
                    ended.end() == PartEnd.FAILED || ended.end() == PartEnd.LOST;
        } else if (event instanceof HistoryEvent.ResultDelivered result) {
            Request request = request(result.job());
            request.resultMs = Math.min(request.resultMs, result.atMs());
        } else if (event instanceof HistoryEvent.JobEndReported ended) {
            Request request = request(ended.job());
            request.endedMs = ended.atMs();
            request.code = ended.code();
        }
    }

    TraceJob job(JobId id) {
        return request(id).job;
    }

    Distribution completion() {
        return Distribution.of(requests.values().stream()
                .filter(Request::measured)
                .map(this::completionMs)
                .toList());
    }

    List<Double> slowdowns() {
        return requests.values().stream()
                .filter(Request::measured)
                .map(request -> (double) completionMs(request) / request.job.trueRunMs())
                .sorted()
                .toList();
    }

    Distribution largestJobWait() {
        int largest = requests.values().stream()
                .filter(Request::measured)
                .mapToInt(Request::accelerators)
                .max()
                .orElse(0);
        List<Long> waits = new ArrayList<>();
        for (Request request : requests.values()) {
            if (request.measured() && request.accelerators() >= largest * LARGE_REQUEST_SHARE) {
                waits.add(Math.min(request.startedMs, horizonMs) - request.submitMs);
            }
        }
        return Distribution.of(waits);
    }

    Measures.JobCounts counts() {
        int[] countByOutcome = new int[6];
        requests.values().forEach(request -> countByOutcome[outcomeIndex(request)]++);
        return new Measures.JobCounts(
                requests.size(),
                countByOutcome[0],
                countByOutcome[1],
                countByOutcome[2],
                countByOutcome[3],
                countByOutcome[4],
                countByOutcome[5],
                retries);
    }

    private static int outcomeIndex(Request request) {
        if (request.resultMs != Request.NEVER) {
            return 0;
        } else if (request.cancelled) {
            return 1;
        } else if (request.code == null) {
            return 5;
        } else if (REFUSALS.contains(request.code)) {
            return 2;
        }
        return IMPOSSIBLE.contains(request.code) ? 3 : 4;
    }

    private long completionMs(Request request) {
        if (request.resultMs != Request.NEVER) {
            return request.resultMs - request.submitMs;
        }
        boolean brokenByWorker = request.code == ReasonCode.END_BROKEN_NOT_REPEATABLE && request.partFailed;
        return (brokenByWorker ? request.endedMs : horizonMs) - request.submitMs;
    }

    private Request request(JobId id) {
        return requests.get(originals.getOrDefault(id, id));
    }

    /** One request of a caller. */
    private static final class Request {
        private static final long NEVER = Long.MAX_VALUE;

        private final TraceJob job;
        private final long submitMs;
        private final boolean possible;
        private long startedMs = NEVER;
        private long resultMs = NEVER;
        private long endedMs = NEVER;
        private ReasonCode code;
        private boolean cancelled;
        private boolean partFailed;

        private Request(TraceJob job, long submitMs, boolean possible) {
            this.job = job;
            this.submitMs = submitMs;
            this.possible = possible;
        }

        private boolean measured() {
            return !cancelled && possible && !job.alwaysFails();
        }

        private int accelerators() {
            return job.spec().shape().accelerators();
        }
    }
}

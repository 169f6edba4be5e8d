package org.fuchsiawinch.replay.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.SchedulerEvent;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.replay.history.HistoryEvent;
import org.fuchsiawinch.replay.trace.TraceJob;

/**
 * Fake callers of one replay. They submit and cancel jobs, and resubmit a refused job after the retry delay stated in
 * the refusal. A job resubmitted after a refusal by the scheduler gets a new id. Not thread-safe.
 */
final class FakeCallers {

    /** Most submits of one request, including the first. */
    private static final int MAX_SUBMITS = 6;
    /** Exclusive upper bound of the jitter added to the retry delay of a refusal. */
    private static final int RETRY_JITTER_BOUND_MS = 1_000;

    private final ReplayContext context;
    private final Map<JobId, Request> requests = new HashMap<>();
    private final Map<JobId, Request> open = new LinkedHashMap<>();
    private Runnable submitListener = () -> {};

    FakeCallers(ReplayContext context) {
        this.context = context;
    }

    void setSubmitListener(Runnable listener) {
        submitListener = listener;
    }

    boolean hasOpenJobs() {
        return !open.isEmpty();
    }

    Set<JobId> openJobs() {
        return open.keySet();
    }

    TraceJob job(JobId id) {
        return requests.get(id).current;
    }

    void submit(TraceJob job) {
        Request request = new Request(job, context.nowMs());
        requests.put(job.spec().id(), request);
        send(request);
    }

    void cancel(JobId original) {
        Request request = requests.get(original);
        request.cancelled = true;
        if (context.logUnavailable()) {
            context.clock().scheduleAt(context.logAvailableMs() + resubmitDelayMs(original), () -> cancel(original));
            return;
        }
        if (!request.sent) {
            return;
        }
        JobId id = request.current.spec().id();
        context.record(new HistoryEvent.JobCancelRequested(context.nowMs(), id));
        context.notifyScheduler(new SchedulerEvent.JobCancelled(id));
    }

    void resultArrived(JobId id) {
        open.remove(id);
    }

    /** Reports to a caller that its job has no result, once the record of the end is read back from the log. */
    void reportEnd(Decision.EndJob end) {
        context.afterAppend(end.job(), () -> {
            context.record(new HistoryEvent.JobEndReported(
                    context.nowMs(), end.job(), end.ran(), end.reason().code()));
            open.remove(end.job());
            scheduleRetry(end);
        });
    }

    private void scheduleRetry(Decision.EndJob end) {
        Request request = requests.get(end.job());
        boolean retry = end.reason().retryAfterMs().isPresent() && !end.ran();
        if (!retry || request.cancelled || request.submits >= MAX_SUBMITS) {
            return;
        }
        request.current = withNextId(request);
        requests.put(request.current.spec().id(), request);
        long afterMs = end.reason().retryAfterMs().getAsLong();
        long jitterMs = context.jitter().delayMs("retry", request.current.spec().id(), RETRY_JITTER_BOUND_MS);
        context.clock().scheduleAfter(afterMs + jitterMs, () -> send(request));
    }

    private static TraceJob withNextId(Request request) {
        JobSpec spec = request.current.spec();
        JobId id = new JobId(request.original + "~" + (request.submits + 1));
        JobSpec resubmitted = new JobSpec(
                id,
                spec.workspace(),
                spec.kind(),
                spec.shape(),
                spec.declaredRunMs(),
                spec.idempotent(),
                spec.checkpointable(),
                spec.urgency(),
                spec.deadlineMs());
        TraceJob job = request.current;
        return new TraceJob(resubmitted, job.trueRunMs(), job.trueMemoryMb(), job.checkpointMs(), job.alwaysFails());
    }

    private void send(Request request) {
        if (request.cancelled) {
            return;
        }
        JobId id = request.current.spec().id();
        if (context.logUnavailable()) {
            context.record(new HistoryEvent.SubmitDeferred(context.nowMs(), id));
            context.clock().scheduleAt(context.logAvailableMs() + resubmitDelayMs(id), () -> send(request));
            return;
        }
        request.sent = true;
        request.submits++;
        open.put(id, request);
        context.record(new HistoryEvent.JobSubmitted(
                context.nowMs(), request.current, request.original, request.firstSubmitMs));
        context.notifyScheduler(new SchedulerEvent.JobSubmitted(request.current.spec()));
        submitListener.run();
    }

    private long resubmitDelayMs(JobId id) {
        return context.jitter().delayMs("resubmit", id, ProtocolTimes.RESUBMIT_SPREAD_MS);
    }

    /** State of one caller's request across its resubmissions. */
    private static final class Request {
        private final JobId original;
        private final long firstSubmitMs;
        private TraceJob current;
        private int submits;
        private boolean sent;
        private boolean cancelled;

        private Request(TraceJob job, long firstSubmitMs) {
            this.original = job.spec().id();
            this.firstSubmitMs = firstSubmitMs;
            this.current = job;
        }
    }
}

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
 * The fake callers of one replay: they submit, cancel, and submit a refused job again after the told retry time. A job
 * submitted again after a refusal by the scheduler gets a new id. Not thread-safe.
 */
final class FakeCallers {

    private static final int MAX_SUBMITS = 6;
    private static final int RETRY_SPREAD_MS = 1_000;

    private final Stage stage;
    private final Map<JobId, Request> requests = new HashMap<>();
    private final Map<JobId, Request> open = new LinkedHashMap<>();
    private Runnable onSubmit = () -> {};

    FakeCallers(Stage stage) {
        this.stage = stage;
    }

    void listen(Runnable target) {
        onSubmit = target;
    }

    boolean anyOpen() {
        return !open.isEmpty();
    }

    Set<JobId> openJobs() {
        return open.keySet();
    }

    TraceJob job(JobId id) {
        return requests.get(id).current;
    }

    void submit(TraceJob job) {
        Request request = new Request(job, stage.nowMs());
        requests.put(job.spec().id(), request);
        send(request);
    }

    void cancel(JobId original) {
        Request request = requests.get(original);
        request.cancelled = true;
        if (stage.logDown()) {
            stage.timeline().at(stage.logBackMs() + spread(original), () -> cancel(original));
            return;
        }
        if (!request.sent) {
            return;
        }
        JobId id = request.current.spec().id();
        stage.record(new HistoryEvent.JobCancelRequested(stage.nowMs(), id));
        stage.tell(new SchedulerEvent.JobCancelled(id));
    }

    void resultArrived(JobId id) {
        open.remove(id);
    }

    /** Tells a caller that there will be no result, once the record of it is read back. */
    void end(Decision.EndJob end) {
        stage.afterAppend(end.job(), () -> {
            stage.record(new HistoryEvent.JobEndReported(
                    stage.nowMs(), end.job(), end.ran(), end.reason().code()));
            open.remove(end.job());
            retryLater(end);
        });
    }

    private void retryLater(Decision.EndJob end) {
        Request request = requests.get(end.job());
        boolean retry = end.reason().retryAfterMs().isPresent() && !end.ran();
        if (!retry || request.cancelled || request.submits >= MAX_SUBMITS) {
            return;
        }
        request.current = renamed(request);
        requests.put(request.current.spec().id(), request);
        long afterMs = end.reason().retryAfterMs().getAsLong();
        long jitterMs = stage.jitter().ms("retry", request.current.spec().id(), RETRY_SPREAD_MS);
        stage.timeline().after(afterMs + jitterMs, () -> send(request));
    }

    private static TraceJob renamed(Request request) {
        JobSpec spec = request.current.spec();
        JobId id = new JobId(request.original + "~" + (request.submits + 1));
        JobSpec again = new JobSpec(
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
        return new TraceJob(again, job.trueRunMs(), job.trueMemoryMb(), job.checkpointMs(), job.alwaysFails());
    }

    private void send(Request request) {
        if (request.cancelled) {
            return;
        }
        JobId id = request.current.spec().id();
        if (stage.logDown()) {
            stage.record(new HistoryEvent.SubmitDeferred(stage.nowMs(), id));
            stage.timeline().at(stage.logBackMs() + spread(id), () -> send(request));
            return;
        }
        request.sent = true;
        request.submits++;
        open.put(id, request);
        stage.record(
                new HistoryEvent.JobSubmitted(stage.nowMs(), request.current, request.original, request.firstSubmitMs));
        stage.tell(new SchedulerEvent.JobSubmitted(request.current.spec()));
        onSubmit.run();
    }

    private long spread(JobId id) {
        return stage.jitter().ms("resubmit", id, ProtocolTimes.RESUBMIT_SPREAD_MS);
    }

    /** What a caller asked for. */
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

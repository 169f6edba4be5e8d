package org.fuchsiawinch.server.api;

import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.server.failure.ErrorSignals;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.stream.BatchingAppender;
import org.fuchsiawinch.server.stream.StreamFollower;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.cell.JobIndex;
import org.fuchsiawinch.workflow.cell.Queue;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import reactor.core.publisher.Mono;

/**
 * Handles callers' requests: submits, queries and cancels jobs. A submission is confirmed only after the job is stored.
 * A job, queue or key is reported as missing only if the local state is confirmed to be current. Not thread-safe: all
 * calls and callbacks run on the node's single thread.
 */
public final class CallerRequestHandler {

    /**
     * Longest time in ms since the last read of the rules for which a missing queue or key is reported as such; below
     * the 2 s within which a changed document has to be in force.
     */
    private static final long MAX_RULES_STALENESS_MS = 1500;

    /** Divisor of the caller's maximum wait that yields the time for which a failed append is retried. */
    private static final int APPEND_WAIT_DIVISOR = 3;

    /** Longest time in ms for which a failed append is retried; then the caller is answered without its result. */
    private static final long MAX_APPEND_WAIT_MS = 1200;

    /**
     * Time in ms without an answer from the store after which requests that need an append are refused; while the store
     * is healthy, a long-poll read answers within 0.5 s.
     */
    private static final long MAX_STORE_SILENCE_MS = 1300;

    /** Causes of refusals that other nodes need not share. */
    private static final Set<String> DEPENDENCY_CAUSES =
            Set.of("store-silent", "store-refuses", "store-unreachable", "rules-outdated");

    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

    private final JobIndex index;
    private final Supplier<Optional<CellRules>> rules;
    private final StreamFollower cellFollower;
    private final StreamFollower operatorFollower;
    private final BatchingAppender appender;
    private final RecordCodec codec;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final RetryAdvice retryAdvice = new RetryAdvice();

    /**
     * Creates a handler.
     *
     * @param index index of the jobs and their phases
     * @param rules supplies the rules in force; empty until the first ones are read
     * @param cellFollower follower of the cell's stream
     * @param operatorFollower follower of the operators' stream
     * @param appender appends accepted requests to the cell's stream
     * @param codec encodes the appended records
     * @param clock supplies the present Unix time in ms
     * @param log receives a line for each answered request, except queries that succeed
     * @param metrics registry of the answer counters
     */
    public CallerRequestHandler(
            JobIndex index,
            Supplier<Optional<CellRules>> rules,
            StreamFollower cellFollower,
            StreamFollower operatorFollower,
            BatchingAppender appender,
            RecordCodec codec,
            LongSupplier clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.index = index;
        this.rules = rules;
        this.cellFollower = cellFollower;
        this.operatorFollower = operatorFollower;
        this.appender = appender;
        this.codec = codec;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Queue, workspace and job that a request addresses.
     *
     * @param queue queue that matches the host and path
     * @param workspace the caller's workspace; empty for an open queue without a key
     * @param job id of the job; an empty string addresses the queue itself
     */
    private record ResolvedRequest(Queue queue, Optional<WorkspaceId> workspace, String job) {}

    /**
     * Submits a job. Idempotent: repeating a submission with the same job id creates no second job.
     *
     * @param request the request
     * @param body supplies the decoded body; called only if the job is not known yet
     * @return the answer
     */
    public Mono<Answer> submit(CallerRequest request, Supplier<JobBody> body) {
        return handle("submit", request, resolved -> {
            if (!JOB_ID.matcher(resolved.job()).matches()) {
                return Mono.just(new Answer.Malformed("job id: not 16 hexadecimal digits"));
            }
            if (index.find(resolved.job()).isPresent()) {
                return Mono.just(new Answer.Accepted());
            }
            JobBody decoded = body.get();
            if (decoded instanceof JobBody.Malformed malformed) {
                return Mono.just(new Answer.Malformed(malformed.problem()));
            }
            if (decoded instanceof JobBody.Unsupported unsupported) {
                return Mono.just(new Answer.Unavailable("unsupported-" + unsupported.feature(), RetryAdvice.WAIT_S));
            }
            return accept(request, resolved, (JobBody.Job) decoded);
        });
    }

    /**
     * Returns the phase of a job, or the number of jobs waiting in a queue.
     *
     * @param request the request
     * @return the answer
     */
    public Mono<Answer> query(CallerRequest request) {
        return handle("look", request, resolved -> {
            if (resolved.job().isEmpty()) {
                return Mono.just(
                        new Answer.Pending(index.queuedCount(resolved.queue().name())));
            }
            return withJob(resolved, job -> Mono.just(phaseAnswer(job)), () -> Mono.just(new Answer.NoSuchJob()));
        });
    }

    /**
     * Returns the phase of a job, or sends the caller to another node if this one hears nothing of the store: the job
     * may have ended meanwhile, and its caller would wait for an answer that the other nodes have.
     */
    private Answer phaseAnswer(JobIndex.JobSummary job) {
        boolean outdated = cellFollower.stalenessMs(clock.getAsLong()) > MAX_STORE_SILENCE_MS;
        return outdated && !job.phase().ended()
                ? new Answer.Unavailable("store-silent", RetryAdvice.WAIT_S)
                : new Answer.State(job.reportedPhase());
    }

    /**
     * Cancels a job. Idempotent; a job that has ended stays as it is. A job that does not exist is cancelled for the
     * case that its submission, which the caller had no answer to, is stored later.
     *
     * @param request the request
     * @return the answer
     */
    public Mono<Answer> cancel(CallerRequest request) {
        return handle(
                "cancel",
                request,
                resolved -> withJob(
                        resolved,
                        job -> {
                            if (job.phase().ended() || job.cancelRequested()) {
                                return Mono.just(new Answer.Cancelled());
                            }
                            return append(
                                    request, new CellRecord.CancelRequested(resolved.job()), new Answer.Cancelled());
                        },
                        () -> cancelEarly(request, resolved)));
    }

    /** Stores the cancellation of a job that does not exist, unless its id is invalid or another workspace's. */
    private Mono<Answer> cancelEarly(CallerRequest request, ResolvedRequest resolved) {
        String id = resolved.job();
        boolean mayBeSubmitted = JOB_ID.matcher(id).matches() && index.find(id).isEmpty();
        if (!mayBeSubmitted || index.cancelledEarly(id, resolved.workspace())) {
            return Mono.just(new Answer.NoSuchJob());
        }
        return append(request, new CellRecord.CancelRequested(id, resolved.workspace()), new Answer.NoSuchJob())
                .map(answer -> answer instanceof Answer.NoSuchJob
                                && findVisible(resolved).isPresent()
                        ? new Answer.Cancelled()
                        : answer);
    }

    private Mono<Answer> handle(String verb, CallerRequest request, Function<ResolvedRequest, Mono<Answer>> action) {
        long startedMs = clock.getAsLong();
        Optional<CellRules> currentRules = rules.get();
        Mono<Answer> answer = currentRules.isEmpty()
                ? Mono.just(new Answer.Unavailable("no-rules", RetryAdvice.WAIT_S))
                : ErrorSignals.defer(() -> withQueue(request, currentRules.get(), startedMs, action));
        return answer.map(sent -> advised(request, sent, startedMs))
                .doOnNext(sent -> recordAnswer(verb, request, sent, startedMs));
    }

    /** Tells a caller that is refused for want of the store when to come back. */
    private Answer advised(CallerRequest request, Answer answer, long startedMs) {
        if (!(answer instanceof Answer.Unavailable refusal) || !DEPENDENCY_CAUSES.contains(refusal.cause())) {
            return answer;
        }
        int retryAfterS = retryAdvice.retryAfterS(queue(request), request.maxWaitMs(), startedMs);
        return new Answer.Unavailable(refusal.cause(), retryAfterS);
    }

    private Mono<Answer> withQueue(
            CallerRequest request, CellRules currentRules, long nowMs, Function<ResolvedRequest, Mono<Answer>> action) {
        boolean rulesCurrent = operatorFollower.stalenessMs(nowMs) <= MAX_RULES_STALENESS_MS;
        Optional<Queue> queue = currentRules.queue(request.host(), request.path());
        if (queue.isEmpty()) {
            return Mono.just(refuse(rulesCurrent, new Answer.NoSuchQueue()));
        }
        Optional<WorkspaceId> workspace = request.key().flatMap(currentRules::workspace);
        if (workspace.isEmpty() && !queue.get().open()) {
            return Mono.just(refuse(rulesCurrent, new Answer.UnknownKey()));
        }
        retryAdvice.arrived(queue.get().name(), request.maxWaitMs(), nowMs);
        String job = request.path().substring(queue.get().pathPrefix().length());
        return action.apply(new ResolvedRequest(queue.get(), workspace, job));
    }

    private static Answer refuse(boolean rulesCurrent, Answer refusal) {
        return rulesCurrent ? refusal : new Answer.Unavailable("rules-outdated", RetryAdvice.WAIT_S);
    }

    private Mono<Answer> withJob(
            ResolvedRequest resolved,
            Function<JobIndex.JobSummary, Mono<Answer>> action,
            Supplier<Mono<Answer>> missing) {
        Optional<JobIndex.JobSummary> known = findVisible(resolved);
        if (known.isPresent()) {
            return action.apply(known.get());
        }
        return cellFollower.catchUp().flatMap(caughtUp -> {
            Optional<JobIndex.JobSummary> found = findVisible(resolved);
            if (found.isPresent()) {
                return action.apply(found.get());
            }
            return caughtUp
                    ? missing.get()
                    : Mono.just(new Answer.Unavailable("store-unreachable", RetryAdvice.WAIT_S));
        });
    }

    private Optional<JobIndex.JobSummary> findVisible(ResolvedRequest resolved) {
        return index.find(resolved.job())
                .filter(job -> resolved.workspace().isEmpty()
                        || job.workspace().isEmpty()
                        || job.workspace().equals(resolved.workspace()));
    }

    private Mono<Answer> accept(CallerRequest request, ResolvedRequest resolved, JobBody.Job body) {
        Submission submission = new Submission(
                resolved.job(),
                resolved.queue().name(),
                resolved.queue().service(),
                resolved.workspace().orElse(new WorkspaceId("open")),
                resolved.queue().rules(),
                clock.getAsLong(),
                body.payload(),
                body.steps());
        // The steps are valid here. All nodes would skip a record with a problem, so the job would be lost.
        if (submission.problem().isPresent()) {
            return Mono.just(new Answer.Unavailable("queue-rules-out-of-range", RetryAdvice.WAIT_S));
        }
        return append(request, new CellRecord.Accepted(submission), new Answer.Accepted());
    }

    private Mono<Answer> append(CallerRequest request, CellRecord record, Answer success) {
        long nowMs = clock.getAsLong();
        if (cellFollower.stalenessMs(nowMs) > MAX_STORE_SILENCE_MS) {
            return Mono.just(new Answer.Unavailable("store-silent", RetryAdvice.WAIT_S));
        }
        long appendDeadlineMs = nowMs + Math.min(MAX_APPEND_WAIT_MS, request.maxWaitMs() / APPEND_WAIT_DIVISOR);
        return appender.store(new StreamStore.Entry(record.key(), codec.encode(record)), appendDeadlineMs)
                .map(outcome -> {
                    if (outcome == BatchingAppender.Outcome.STORED) {
                        index.apply(record);
                        return success;
                    }
                    return outcome == BatchingAppender.Outcome.UNKNOWN
                            ? new Answer.Uncertain()
                            : new Answer.Unavailable("store-refuses", RetryAdvice.WAIT_S);
                });
    }

    private void recordAnswer(String verb, CallerRequest request, Answer answer, long startedMs) {
        String kind = answer.getClass().getSimpleName();
        metrics.counter("calls." + verb + "." + kind).inc();
        if (answer instanceof Answer.State || answer instanceof Answer.Pending) {
            return;
        }
        long nowMs = clock.getAsLong();
        log.line(
                "call-answered",
                "request",
                request.path().substring(request.path().lastIndexOf('/') + 1),
                "verb",
                verb,
                "host",
                request.host(),
                "path",
                request.path(),
                "answer",
                answer,
                "rulesVersion",
                rules.get().map(CellRules::version).orElse(0L),
                "rulesAgeMs",
                operatorFollower.stalenessMs(nowMs),
                "tookMs",
                nowMs - startedMs,
                "workspace",
                workspace(request),
                "queue",
                queue(request));
    }

    private String workspace(CallerRequest request) {
        return rules.get()
                .flatMap(current -> request.key().flatMap(current::workspace))
                .map(WorkspaceId::value)
                .orElse("none");
    }

    private String queue(CallerRequest request) {
        return rules.get()
                .flatMap(current -> current.queue(request.host(), request.path()))
                .map(Queue::name)
                .orElse("none");
    }
}

package org.fuchsiawinch.server.desk;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.stream.IntakeAppender;
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
 * Answers callers: accepts jobs once they are stored, and tells their phase. Says that something does not exist only
 * when the store confirms it. Runs on one thread, which also calls it.
 */
public final class CallerDesk {

    /** Age in ms of the rules up to which a missing queue or key is taken for certain; below the bound for changes. */
    private static final long FRESH_RULES_MS = 1500;

    /** Share of the caller's patience that an append may take before the caller is answered without a result. */
    private static final int PATIENCE_DIVISOR = 3;

    /** Longest time in ms that an append may take before the caller is answered without a result. */
    private static final long MAX_PATIENCE_MS = 1200;

    /** Silence of the store in ms after which nothing is sent to it for a caller; a waiting read answers in 0.5 s. */
    private static final long SILENT_STORE_MS = 1300;

    private static final int RETRY_AFTER_S = 1;
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

    private final JobIndex index;
    private final Supplier<Optional<CellRules>> rules;
    private final StreamFollower cell;
    private final StreamFollower operator;
    private final IntakeAppender intake;
    private final RecordCodec codec;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;

    /**
     * Creates a desk.
     *
     * @param index phases of the jobs
     * @param rules the rules in force, empty before the first ones
     * @param cell follows the cell's stream
     * @param operator follows the operators' stream
     * @param intake stores accepted requests
     * @param codec encodes them
     * @param clock present time in ms
     * @param log takes a line for each decision
     * @param metrics counts the answers
     */
    public CallerDesk(
            JobIndex index,
            Supplier<Optional<CellRules>> rules,
            StreamFollower cell,
            StreamFollower operator,
            IntakeAppender intake,
            RecordCodec codec,
            LongSupplier clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.index = index;
        this.rules = rules;
        this.cell = cell;
        this.operator = operator;
        this.intake = intake;
        this.codec = codec;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * What a call was found to be for.
     *
     * @param queue the queue
     * @param workspace the caller's workspace; empty for an open queue without a key
     * @param job the job's id; empty text for the queue itself
     */
    private record Target(Queue queue, Optional<WorkspaceId> workspace, String job) {}

    /**
     * Submits a job.
     *
     * @param call the call
     * @param body reads the body
     * @return the answer
     */
    public Mono<Answer> submit(Call call, Supplier<JobBody> body) {
        return forTarget("submit", call, target -> {
            if (!JOB_ID.matcher(target.job()).matches()) {
                return Mono.just(new Answer.Malformed("job id: not 16 hexadecimal digits"));
            }
            if (index.find(target.job()).isPresent()) {
                return Mono.just(new Answer.Accepted());
            }
            JobBody read = body.get();
            if (read instanceof JobBody.Malformed malformed) {
                return Mono.just(new Answer.Malformed(malformed.problem()));
            }
            if (read instanceof JobBody.Unsupported unsupported) {
                return Mono.just(new Answer.Unavailable("unsupported-" + unsupported.feature(), RETRY_AFTER_S));
            }
            return accept(call, target, (JobBody.Job) read);
        });
    }

    /**
     * Tells the phase of a job, or how many jobs of a queue wait.
     *
     * @param call the call
     * @return the answer
     */
    public Mono<Answer> look(Call call) {
        return forTarget("look", call, target -> {
            if (target.job().isEmpty()) {
                return Mono.just(
                        new Answer.Pending(index.queuedCount(target.queue().name())));
            }
            return find(target, job -> Mono.just(new Answer.State(job.reportedPhase())));
        });
    }

    /**
     * Cancels a job.
     *
     * @param call the call
     * @return the answer
     */
    public Mono<Answer> cancel(Call call) {
        return forTarget(
                "cancel",
                call,
                target -> find(target, job -> {
                    if (job.phase().ended() || job.cancelRequested()) {
                        return Mono.just(new Answer.Cancelled());
                    }
                    return store(call, new CellRecord.CancelRequested(target.job()), new Answer.Cancelled());
                }));
    }

    private Mono<Answer> forTarget(String verb, Call call, Function<Target, Mono<Answer>> action) {
        long startedMs = clock.getAsLong();
        Optional<CellRules> inForce = rules.get();
        Mono<Answer> answer = inForce.isEmpty()
                ? Mono.just(new Answer.Unavailable("no-rules", RETRY_AFTER_S))
                : admit(call, inForce.get(), startedMs, action);
        return answer.doOnNext(given -> note(verb, call, given, startedMs));
    }

    private Mono<Answer> admit(Call call, CellRules inForce, long nowMs, Function<Target, Mono<Answer>> action) {
        boolean fresh = operator.ageMs(nowMs) <= FRESH_RULES_MS;
        Optional<Queue> queue = inForce.queue(call.host(), call.path());
        if (queue.isEmpty()) {
            return Mono.just(certain(fresh, new Answer.NoSuchQueue()));
        }
        Optional<WorkspaceId> workspace = call.key().flatMap(inForce::workspace);
        if (workspace.isEmpty() && !queue.get().open()) {
            return Mono.just(certain(fresh, new Answer.UnknownKey()));
        }
        String job = call.path().substring(queue.get().pathPrefix().length());
        return action.apply(new Target(queue.get(), workspace, job));
    }

    private static Answer certain(boolean fresh, Answer refusal) {
        return fresh ? refusal : new Answer.Unavailable("rules-outdated", RETRY_AFTER_S);
    }

    private Mono<Answer> find(Target target, Function<JobIndex.JobSummary, Mono<Answer>> action) {
        Optional<JobIndex.JobSummary> known = visible(target);
        if (known.isPresent()) {
            return action.apply(known.get());
        }
        return cell.catchUp().flatMap(caughtUp -> {
            Optional<JobIndex.JobSummary> found = visible(target);
            if (found.isPresent()) {
                return action.apply(found.get());
            }
            return Mono.just(
                    caughtUp ? new Answer.NoSuchJob() : new Answer.Unavailable("store-unreachable", RETRY_AFTER_S));
        });
    }

    private Optional<JobIndex.JobSummary> visible(Target target) {
        return index.find(target.job())
                .filter(job -> target.workspace().isEmpty()
                        || job.workspace().isEmpty()
                        || job.workspace().equals(target.workspace()));
    }

    private Mono<Answer> accept(Call call, Target target, JobBody.Job body) {
        Submission submission = new Submission(
                target.job(),
                target.queue().name(),
                target.queue().service(),
                target.workspace().orElse(new WorkspaceId("open")),
                target.queue().rules(),
                clock.getAsLong(),
                body.payload(),
                body.steps());
        return store(call, new CellRecord.Accepted(submission), new Answer.Accepted());
    }

    private Mono<Answer> store(Call call, CellRecord record, Answer success) {
        long nowMs = clock.getAsLong();
        if (cell.ageMs(nowMs) > SILENT_STORE_MS) {
            return Mono.just(new Answer.Unavailable("store-silent", RETRY_AFTER_S));
        }
        long giveUpMs = nowMs + Math.min(MAX_PATIENCE_MS, call.deadlineMs() / PATIENCE_DIVISOR);
        return intake.store(new StreamStore.Entry(record.key(), codec.encode(record)), giveUpMs)
                .map(outcome -> {
                    if (outcome == IntakeAppender.Outcome.STORED) {
                        index.apply(record);
                        return success;
                    }
                    return outcome == IntakeAppender.Outcome.UNKNOWN
                            ? new Answer.Uncertain()
                            : new Answer.Unavailable("store-refuses", RETRY_AFTER_S);
                });
    }

    private void note(String verb, Call call, Answer answer, long startedMs) {
        String outcome = answer.getClass().getSimpleName();
        metrics.counter("calls." + verb + "." + outcome).inc();
        if (answer instanceof Answer.State || answer instanceof Answer.Pending) {
            return;
        }
        long nowMs = clock.getAsLong();
        log.line(
                "call-answered",
                "request",
                call.path().substring(call.path().lastIndexOf('/') + 1),
                "verb",
                verb,
                "host",
                call.host(),
                "path",
                call.path(),
                "answer",
                answer,
                "rulesVersion",
                rules.get().map(CellRules::version).orElse(0L),
                "rulesAgeMs",
                operator.ageMs(nowMs),
                "tookMs",
                nowMs - startedMs);
    }
}

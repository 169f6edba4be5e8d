package org.fuchsiawinch.node.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.record.JobOutcome;

/** JSON bodies of the callers' and operators' API. */
final class Views {

    private Views() {}

    /** Returns the system-wide id of a caller's job. */
    static JobId jobId(WorkspaceId workspace, String key) {
        return new JobId(workspace + "." + key);
    }

    /**
     * Job as submitted by a caller.
     *
     * @param key identifies the job within its workspace; the same key is the same job
     * @param kind kind of work
     * @param parts number of parts of the gang, from 1 to 64
     * @param perPart resources of each part
     * @param adjacency how close the parts must be placed; a data centre if absent
     * @param declaredRunMs declared run time in ms
     * @param idempotent whether the work may be run again after it may have begun
     * @param checkpointable whether a stopped run can be resumed from a checkpoint; false if absent
     * @param urgency start priority within the workspace; normal if absent
     * @param deadlineMs time in ms since the epoch after which the answer is useless
     * @param payload input of the work; empty if absent
     */
    record JobRequest(
            String key,
            String kind,
            Integer parts,
            Resources perPart,
            Adjacency adjacency,
            Long declaredRunMs,
            Boolean idempotent,
            Boolean checkpointable,
            Urgency urgency,
            OptionalLong deadlineMs,
            String payload) {

        private static final int MAX_PARTS = 64;

        JobSpec spec(WorkspaceId workspace) {
            check("key", key != null && !key.isBlank() && key.length() <= 64);
            check("kind", kind != null && !kind.isBlank());
            check("parts", parts != null && parts >= 1 && parts <= MAX_PARTS);
            check("perPart", perPart != null && positive(perPart));
            check("declaredRunMs", declaredRunMs != null && declaredRunMs > 0);
            check("idempotent", idempotent != null);
            Shape shape = new Shape(parts, perPart, adjacency == null ? Adjacency.DATA_CENTRE : adjacency);
            return new JobSpec(
                    jobId(workspace, key),
                    workspace,
                    kind,
                    shape,
                    declaredRunMs,
                    idempotent,
                    checkpointable != null && checkpointable,
                    urgency == null ? Urgency.NORMAL : urgency,
                    deadlineMs == null ? OptionalLong.empty() : deadlineMs);
        }

        byte[] payloadBytes() {
            return payload == null ? new byte[0] : payload.getBytes(StandardCharsets.UTF_8);
        }

        private static boolean positive(Resources part) {
            return part.cpuMillis() >= 0
                    && part.memoryMb() >= 0
                    && part.accelerators() >= 0
                    && part.slots() >= 1
                    && part.connections() >= 0;
        }

        private static void check(String field, boolean valid) {
            if (!valid) {
                throw new InvalidFieldException(field);
            }
        }
    }

    /**
     * Job as returned to a caller.
     *
     * @param job id of the job
     * @param status status of the job
     * @param attempt number of the current or last attempt
     * @param outcome {@code completed}, {@code not-run}, {@code broken} or absent
     * @param answer the whole answer
     * @param sha256 digest of the answer
     * @param reason code of the outcome's reason
     * @param retryAfterMs time in ms after which a new request may be sent
     * @param submittedMs time in ms since the epoch of acceptance
     * @param startedMs time in ms since the epoch of the last attempt's placement
     * @param finishedMs time in ms since the epoch of the outcome
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record JobView(
            String job,
            String status,
            int attempt,
            Optional<String> outcome,
            Optional<String> answer,
            Optional<String> sha256,
            Optional<String> reason,
            OptionalLong retryAfterMs,
            long submittedMs,
            long startedMs,
            long finishedMs) {

        static JobView of(JobEntry job) {
            Optional<JobOutcome> outcome = job.outcome();
            return new JobView(
                    job.spec().id().value(),
                    job.status().name().toLowerCase(Locale.ROOT),
                    job.attemptNumber(),
                    outcome.map(JobView::name),
                    outcome.filter(JobOutcome.Completed.class::isInstance)
                            .map(JobOutcome.Completed.class::cast)
                            .map(completed -> new String(completed.answer(), StandardCharsets.UTF_8)),
                    outcome.filter(JobOutcome.Completed.class::isInstance)
                            .map(JobOutcome.Completed.class::cast)
                            .map(JobOutcome.Completed::sha256),
                    outcome.flatMap(JobView::code),
                    outcome.filter(JobOutcome.NotRun.class::isInstance)
                            .map(JobOutcome.NotRun.class::cast)
                            .map(JobOutcome.NotRun::retryAfterMs)
                            .orElse(OptionalLong.empty()),
                    job.submittedMs(),
                    job.attemptMs(),
                    job.finishedMs());
        }

        private static String name(JobOutcome outcome) {
            if (outcome instanceof JobOutcome.Completed) {
                return "completed";
            }
            return outcome instanceof JobOutcome.NotRun ? "not-run" : "broken";
        }

        private static Optional<String> code(JobOutcome outcome) {
            if (outcome instanceof JobOutcome.NotRun notRun) {
                return Optional.of(notRun.code());
            }
            return outcome instanceof JobOutcome.Broken broken ? Optional.of(broken.code()) : Optional.empty();
        }
    }

    /**
     * Error.
     *
     * @param error code of the error
     * @param message what is wrong and where
     * @param retryAfterMs time in ms after which to retry
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record ErrorView(String error, String message, OptionalLong retryAfterMs) {}

    /**
     * Document in force.
     *
     * @param version its version
     * @param digest SHA-256 of the text
     * @param text the whole text
     */
    record DocumentView(int version, String digest, String text) {}

    /**
     * Document change as sent by an operator.
     *
     * @param team team that signed
     * @param section name of the section
     * @param baseVersion version that the change is based on
     * @param text new text of the section
     * @param signature Ed25519 signature, base64
     */
    record ProposalRequest(String team, String section, Integer baseVersion, String text, String signature) {}

    /**
     * Accepted document change, or accepted drain request.
     *
     * @param outcome {@code accepted} or {@code draining}
     * @param version version in force; 0 for a drain request
     */
    record AcceptedView(String outcome, int version) {}

    /**
     * Refused document change.
     *
     * @param error code of the error
     * @param message what is wrong and where
     * @param currentVersion version in force
     * @param currentText text in force
     */
    record ConflictView(String error, String message, int currentVersion, String currentText) {}

    /**
     * Version of the document.
     *
     * @param version the version
     * @param section the changed section; empty for the first document
     * @param team team that signed
     * @param digest SHA-256 of the whole text
     */
    record HistoryView(int version, String section, String team, String digest) {}

    /**
     * Worker.
     *
     * @param worker its id
     * @param dataCentre its data centre
     * @param rack its rack
     * @param accelerators its accelerators
     * @param slots its task slots
     * @param speed its relative speed
     * @param leaving whether the platform has announced that it leaves
     */
    record WorkerView(
            String worker, String dataCentre, String rack, int accelerators, int slots, double speed, boolean leaving) {

        static WorkerView of(WorkerSpec worker, boolean leaving) {
            return new WorkerView(
                    worker.id().value(),
                    worker.dataCentre(),
                    worker.rack(),
                    worker.capacity().accelerators(),
                    worker.capacity().slots(),
                    worker.speed(),
                    leaving);
        }
    }

    /**
     * Workspace with the numbers of its jobs.
     *
     * @param workspace the workspace
     * @param guaranteedAccelerators accelerators of all its guaranteed shapes
     * @param acceleratorQuota maximum number of accelerators that it may hold
     * @param waiting number of waiting jobs
     * @param running number of jobs that are placed or released
     * @param finished number of jobs with a final outcome
     */
    record WorkspaceView(
            String workspace,
            int guaranteedAccelerators,
            int acceleratorQuota,
            long waiting,
            long running,
            long finished) {}

    /**
     * Explanation of a job's status.
     *
     * @param job id of the job
     * @param status status of the job
     * @param reason code of the reason
     * @param priceMicros price in millionths of the currency unit
     * @param estimatedRunMs corrected run time in ms
     * @param correctionFactor factor by which the declared run time is corrected
     * @param alternative next best choice with its price and delay
     * @param placements workers of the current attempt
     * @param node node that owns the cell
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    record ExplainView(
            String job,
            String status,
            Optional<String> reason,
            long priceMicros,
            long estimatedRunMs,
            double correctionFactor,
            Optional<String> alternative,
            List<String> placements,
            Optional<String> node) {}
}

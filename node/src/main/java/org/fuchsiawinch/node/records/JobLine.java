package org.fuchsiawinch.node.records;

import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.fuchsiawinch.model.PricePolicy;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.record.JobOutcome;

/**
 * Finished job as a line of the burn report's input.
 *
 * @param type always {@code job}
 * @param job id of the job
 * @param workspace its workspace
 * @param kind its kind
 * @param guaranteed whether its last attempt ran within the guarantee
 * @param submittedMs time in ms since the epoch of acceptance
 * @param startedMs time in ms since the epoch of the last placement; empty if the job never ran
 * @param endedMs time in ms since the epoch of the outcome
 * @param outcome {@code completed}, {@code cancelled}, {@code not-run}, {@code refused} or {@code unknown}
 * @param wholeAnswer whether the caller can get the whole answer or a definite "not run"
 * @param spendMicros price of the last attempt in millionths of the currency unit; 0 if the job never ran
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
record JobLine(
        String type,
        String job,
        String workspace,
        String kind,
        boolean guaranteed,
        long submittedMs,
        OptionalLong startedMs,
        long endedMs,
        String outcome,
        boolean wholeAnswer,
        long spendMicros) {

    private static final double MS_PER_HOUR = 3_600_000;

    static Optional<JobLine> of(JobEntry job, PricePolicy prices) {
        if (job.outcome().isEmpty()) {
            return Optional.empty();
        }
        boolean ran = job.everReleased() && job.attemptMs() > 0;
        String outcome = outcomeName(job.outcome().get());
        return Optional.of(new JobLine(
                "job",
                job.spec().id().value(),
                job.spec().workspace().value(),
                job.spec().kind(),
                !job.lent(),
                job.submittedMs(),
                ran ? OptionalLong.of(Math.max(job.submittedMs(), job.attemptMs())) : OptionalLong.empty(),
                Math.max(job.submittedMs(), job.finishedMs()),
                outcome,
                !outcome.equals("unknown"),
                ran ? attemptSpendMicros(job, prices) : 0));
    }

    private static long attemptSpendMicros(JobEntry job, PricePolicy prices) {
        long price = job.lent() ? prices.lentAcceleratorHourMicros() : prices.acceleratorHourMicros();
        double hours = Math.max(0, job.finishedMs() - job.attemptMs()) / MS_PER_HOUR;
        return Math.round(price * hours * job.spec().shape().accelerators());
    }

    private static String outcomeName(JobOutcome outcome) {
        if (outcome instanceof JobOutcome.Completed) {
            return "completed";
        }
        String code = outcome instanceof JobOutcome.NotRun notRun
                ? notRun.code()
                : outcome instanceof JobOutcome.Broken broken ? broken.code() : "";
        if (code.equals("END_CANCELLED")) {
            return "cancelled";
        }
        if (!(outcome instanceof JobOutcome.NotRun)) {
            return "unknown";
        }
        return code.equals("END_DEADLINE") ? "not-run" : "refused";
    }
}

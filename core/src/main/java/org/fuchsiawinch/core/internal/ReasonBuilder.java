package org.fuchsiawinch.core.internal;

import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.ReasonCode;
import org.fuchsiawinch.core.SchedulerFeature;
import org.fuchsiawinch.core.SchedulerFeatures;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.PricePolicy;

/** Builds reasons with estimate, price and alternative, or with the code alone if {@code REASONS} is disabled. */
final class ReasonBuilder {

    private final boolean enabled;

    ReasonBuilder(SchedulerFeatures features) {
        this.enabled = features.has(SchedulerFeature.REASONS);
    }

    Reason of(ReasonCode code, long priceMicros, RunEstimate estimate, Optional<Reason.Alternative> alternative) {
        if (!enabled) {
            return Reason.of(code);
        }
        return new Reason(code, priceMicros, estimate.runMs(), estimate.factor(), OptionalLong.empty(), alternative);
    }

    /** Returns the reason for which a job waits, with its worst-case price and the start of its reservation, if any. */
    Reason waitReason(ReasonCode code, Job job, SchedulerState state, Reservations reservations, long nowMs) {
        if (!enabled) {
            return Reason.of(code);
        }
        RunEstimate estimate = state.estimator.estimate(job, Math.max(1.0, state.pool.maxSpeed()));
        PricePolicy prices = state.policy().map(Policy::prices).orElse(new PricePolicy(0, 0, 0));
        long price = Prices.of(prices.acceleratorHourMicros() * job.accelerators(), estimate.worstCaseMs());
        long lentPrice = Prices.of(prices.lentAcceleratorHourMicros() * job.accelerators(), estimate.worstCaseMs());
        Optional<Reason.Alternative> alternative = reservations
                .current()
                .filter(reserved -> reserved.job() == job)
                .map(reserved -> new Reason.Alternative(
                        ReasonCode.START_SPARE, lentPrice, Math.max(0, reserved.startMs() - nowMs)));
        return of(code, price, estimate, alternative);
    }
}

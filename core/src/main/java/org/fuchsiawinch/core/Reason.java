package org.fuchsiawinch.core;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A typed reason with its price and the next best choice.
 *
 * @param code why
 * @param priceMicros worst-case price of the choice in millionths of the currency unit
 * @param estimatedRunMs corrected run time in ms; 0 where none applies
 * @param correctionFactor factor between declared and corrected run time; 1.0 where none applies
 * @param retryAfterMs time in ms after which a refused caller may retry
 * @param alternative the next best choice
 */
public record Reason(
        ReasonCode code,
        long priceMicros,
        long estimatedRunMs,
        double correctionFactor,
        OptionalLong retryAfterMs,
        Optional<Alternative> alternative) {

    /**
     * Makes a reason that has nothing but a code.
     *
     * @param code why
     * @return the reason
     */
    public static Reason of(ReasonCode code) {
        return new Reason(code, 0, 0, 1.0, OptionalLong.empty(), Optional.empty());
    }

    /**
     * Makes a refusal that may be retried.
     *
     * @param code why
     * @param afterMs time in ms after which the caller may retry
     * @return the reason
     */
    public static Reason retryable(ReasonCode code, long afterMs) {
        return new Reason(code, 0, 0, 1.0, OptionalLong.of(afterMs), Optional.empty());
    }

    /**
     * The next best choice and what it would have cost.
     *
     * @param code kind of choice
     * @param priceMicros its price in millionths of the currency unit
     * @param delayMs its delay in ms against the choice taken
     */
    public record Alternative(ReasonCode code, long priceMicros, long delayMs) {}
}

package org.fuchsiawinch.core;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reason for a decision or for a wait, with its price and the next best choice.
 *
 * @param code kind of reason
 * @param priceMicros worst-case price of the choice in millionths of the currency unit
 * @param estimatedRunMs corrected run time in ms; 0 where none applies
 * @param correctionFactor corrected run time divided by the declared one; 1.0 where none applies
 * @param retryAfterMs time in ms after which a refused caller may retry; empty if a retry does not help
 * @param alternative the next best choice; empty if there was none
 */
public record Reason(
        ReasonCode code,
        long priceMicros,
        long estimatedRunMs,
        double correctionFactor,
        OptionalLong retryAfterMs,
        Optional<Alternative> alternative) {

    /**
     * Creates a reason without price, estimate or alternative.
     *
     * @param code kind of reason
     * @return the reason
     */
    public static Reason of(ReasonCode code) {
        return new Reason(code, 0, 0, 1.0, OptionalLong.empty(), Optional.empty());
    }

    /**
     * Creates the reason of a refusal that the caller may retry.
     *
     * @param code kind of reason
     * @param afterMs time in ms after which the caller may retry
     * @return the reason
     */
    public static Reason retryable(ReasonCode code, long afterMs) {
        return new Reason(code, 0, 0, 1.0, OptionalLong.of(afterMs), Optional.empty());
    }

    /**
     * The next best choice with its price and delay.
     *
     * @param code kind of choice
     * @param priceMicros its price in millionths of the currency unit
     * @param delayMs delay in ms relative to the choice taken
     */
    public record Alternative(ReasonCode code, long priceMicros, long delayMs) {}
}

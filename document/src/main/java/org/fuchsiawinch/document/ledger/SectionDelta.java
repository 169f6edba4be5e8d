package org.fuchsiawinch.document.ledger;

import java.util.Optional;

/**
 * The part of a section's text that a change replaces. Text before and after it stays as in the base. Immutable.
 *
 * @param keptStart number of chars kept from the start of the base text
 * @param keptEnd number of chars kept from the end of the base text
 * @param middle text between them
 */
public record SectionDelta(int keptStart, int keptEnd, String middle) {

    /**
     * Computes the delta of two texts.
     *
     * @param base text of the base
     * @param changed text after the change
     * @return the delta, which splits no surrogate pair
     */
    public static SectionDelta between(String base, String changed) {
        int shorter = Math.min(base.length(), changed.length());
        int start = 0;
        while (start < shorter && base.charAt(start) == changed.charAt(start)) {
            start++;
        }
        if (start > 0 && Character.isHighSurrogate(changed.charAt(start - 1))) {
            start--;
        }
        int end = 0;
        while (end < shorter - start
                && base.charAt(base.length() - 1 - end) == changed.charAt(changed.length() - 1 - end)) {
            end++;
        }
        if (end > 0 && Character.isLowSurrogate(changed.charAt(changed.length() - end))) {
            end--;
        }
        return new SectionDelta(start, end, changed.substring(start, changed.length() - end));
    }

    /**
     * Applies the delta.
     *
     * @param base text of the base
     * @return the changed text, or empty if the delta keeps more than the base has
     */
    public Optional<String> applyTo(String base) {
        boolean fits = keptStart >= 0 && keptEnd >= 0 && (long) keptStart + keptEnd <= base.length();
        return fits
                ? Optional.of(base.substring(0, keptStart) + middle + base.substring(base.length() - keptEnd))
                : Optional.empty();
    }
}

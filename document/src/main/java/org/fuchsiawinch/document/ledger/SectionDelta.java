package org.fuchsiawinch.document.ledger;

import java.util.Optional;

/**
 * Difference between two texts of a section: the part that a change replaces. The text before and after it stays as in
 * the base. Immutable.
 *
 * @param prefixLength number of chars kept from the start of the base text
 * @param suffixLength number of chars kept from the end of the base text
 * @param replacement new text between the kept parts
 */
public record SectionDelta(int prefixLength, int suffixLength, String replacement) {

    /**
     * Computes the delta between two texts.
     *
     * @param base text of the base
     * @param changed text after the change
     * @return the delta, which does not split surrogate pairs
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
     * @return the changed text, or empty if the delta does not fit the length of the base
     */
    public Optional<String> applyTo(String base) {
        boolean fits = prefixLength >= 0 && suffixLength >= 0 && (long) prefixLength + suffixLength <= base.length();
        return fits
                ? Optional.of(
                        base.substring(0, prefixLength) + replacement + base.substring(base.length() - suffixLength))
                : Optional.empty();
    }
}

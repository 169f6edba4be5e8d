package org.fuchsiawinch.document.internal;

import org.fuchsiawinch.document.ProblemCode;

/**
 * Result of parsing a value.
 *
 * @param <T> type of the value
 */
public sealed interface ParseResult<T> {

    /**
     * The value was read.
     *
     * @param <T> type of the value
     * @param value the value
     */
    record Value<T>(T value) implements ParseResult<T> {}

    /**
     * The value is not valid.
     *
     * @param <T> type of the value
     * @param code kind of the problem
     * @param detail what was found and what is expected
     */
    record Invalid<T>(ProblemCode code, String detail) implements ParseResult<T> {}
}

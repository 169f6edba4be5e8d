package org.fuchsiawinch.document.internal;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.fuchsiawinch.document.internal.YamlNode.ScalarKind;

/**
 * Type of a field's value. Immutable.
 *
 * @param <T> Java type of the value
 * @param label type and unit, as the documentation shows them
 * @param kinds kinds of scalars that may hold the value
 * @param parser converts the text to the value
 * @param placeholder replaces a value that could not be read, so that further problems can be found
 * @param order order of the values; empty for types without bounds
 */
public record FieldType<T>(
        String label,
        Set<ScalarKind> kinds,
        Function<String, ParseResult<T>> parser,
        T placeholder,
        Optional<Comparator<T>> order) {}

package org.fuchsiawinch.runtime;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

/**
 * Definition of a setting that may be given as a flag or as an environment variable; the flag takes precedence.
 * Immutable.
 *
 * @param flag long name of the flag without dashes
 * @param description one line of help text, including the unit
 * @param defaultText text of the default; empty if the setting is required
 * @param parser converts text to a value; empty if the text is not valid
 * @param expected description of valid texts, including bounds
 * @param <T> type of the value
 */
public record Setting<T>(
        String flag,
        String description,
        Optional<String> defaultText,
        Function<String, Optional<T>> parser,
        String expected) {

    private static final String VARIABLE_PREFIX = "FUCHSIAWINCH_";

    /**
     * Creates a setting whose value is non-blank text.
     *
     * @param flag name of the flag
     * @param description line of the help text
     * @return a required setting
     */
    public static Setting<String> text(String flag, String description) {
        return new Setting<>(
                flag,
                description,
                Optional.empty(),
                text -> Optional.of(text).filter(value -> !value.isBlank()),
                "non-blank text");
    }

    /**
     * Creates a setting whose value is text that may be empty.
     *
     * @param flag name of the flag
     * @param description line of the help text
     * @return a setting that is empty by default
     */
    public static Setting<String> optionalText(String flag, String description) {
        return new Setting<>(flag, description, Optional.of(""), Optional::of, "text or empty");
    }

    /**
     * Creates a setting whose value is a whole number.
     *
     * @param flag name of the flag
     * @param description line of the help text
     * @param min lowest valid value
     * @param max highest valid value
     * @return a required setting
     */
    public static Setting<Long> number(String flag, String description, long min, long max) {
        return new Setting<>(
                flag,
                description,
                Optional.empty(),
                text -> parseNumber(text, min, max),
                "a whole number from " + min + " to " + max);
    }

    /**
     * Creates a setting whose value is a constant of an enum, written in lower case with dashes.
     *
     * @param flag name of the flag
     * @param description line of the help text
     * @param type the enum
     * @param <E> the enum
     * @return a required setting
     */
    public static <E extends Enum<E>> Setting<E> choice(String flag, String description, Class<E> type) {
        E[] constants = type.getEnumConstants();
        return new Setting<>(
                flag,
                description,
                Optional.empty(),
                text -> parseChoice(text, constants),
                "one of " + names(constants));
    }

    /**
     * Returns a copy of this setting with a default.
     *
     * @param text text of the default
     * @return the copy
     */
    public Setting<T> withDefault(String text) {
        return new Setting<>(flag, description, Optional.of(text), parser, expected);
    }

    /**
     * Returns the name of the environment variable.
     *
     * @return the flag in upper case with underscores, prefixed with {@code FUCHSIAWINCH_}
     */
    public String environmentVariable() {
        return VARIABLE_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static Optional<Long> parseNumber(String text, long min, long max) {
        try {
            long value = Long.parseLong(text.trim());
            return value < min || value > max ? Optional.empty() : Optional.of(value);
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static <E extends Enum<E>> Optional<E> parseChoice(String text, E[] constants) {
        for (E constant : constants) {
            if (dashed(constant).equals(text)) {
                return Optional.of(constant);
            }
        }
        return Optional.empty();
    }

    private static <E extends Enum<E>> String names(E[] constants) {
        StringBuilder names = new StringBuilder();
        for (E constant : constants) {
            names.append(names.isEmpty() ? "" : ", ").append(dashed(constant));
        }
        return names.toString();
    }

    private static String dashed(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}

package org.fuchsiawinch.runtime;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

/**
 * Definition of a setting that may be given as a flag or as an environment variable; the flag goes first. Immutable.
 *
 * @param flag long name of the flag without dashes
 * @param description one line for the help text, with the unit
 * @param defaultText text of the default; empty if the setting must be given
 * @param parser gives the value, or empty if the text is not valid
 * @param expected what a valid text looks like, with bounds
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
     * Defines a text setting.
     *
     * @param flag name of the flag
     * @param description line of the help text
     * @return a setting that must be given
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
     * Defines a text setting that may be empty.
     *
     * @param flag name of the flag
     * @param description line of the help text
     * @return a setting that is empty by default
     */
    public static Setting<String> optionalText(String flag, String description) {
        return new Setting<>(flag, description, Optional.of(""), Optional::of, "text or empty");
    }

    /**
     * Defines a whole number.
     *
     * @param flag name of the flag
     * @param description line of the help text
     * @param min least value
     * @param max greatest value
     * @return a setting that must be given
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
     * Defines a choice among the constants of an enum, written in lower case with dashes.
     *
     * @param flag name of the flag
     * @param description line of the help text
     * @param type the enum
     * @param <E> the enum
     * @return a setting that must be given
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
     * Gives the same setting with a default.
     *
     * @param text text of the default
     * @return the setting
     */
    public Setting<T> withDefault(String text) {
        return new Setting<>(flag, description, Optional.of(text), parser, expected);
    }

    /**
     * Names the environment variable.
     *
     * @return the flag in upper case with underscores, behind a prefix
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

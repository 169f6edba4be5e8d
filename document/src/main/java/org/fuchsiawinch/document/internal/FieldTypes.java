package org.fuchsiawinch.document.internal;

import java.math.BigDecimal;
import java.security.GeneralSecurityException;
import java.security.PublicKey;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.internal.YamlNode.ScalarKind;

/** Types of the document's fields. */
public final class FieldTypes {

    private static final Pattern WHOLE_NUMBER = Pattern.compile("0|[1-9][0-9]{0,8}");
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("(?:0|[1-9][0-9]{0,8})(?:\\.[0-9]{1,6})?");
    private static final Pattern CORES_NUMBER = Pattern.compile("(?:0|[1-9][0-9]{0,5})(?:\\.[0-9]{1,3})?");
    private static final Pattern QUANTITY = Pattern.compile("(0|[1-9][0-9]{0,8})([A-Za-z]*)");
    private static final Pattern SHA256_DIGITS = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern CURRENCY_CODE = Pattern.compile("[A-Z]{3}");
    private static final int MICROS_DIGITS = 6;
    private static final int MILLIS_DIGITS = 3;
    private static final Map<String, Long> MS_BY_UNIT =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final Map<String, Long> MIB_BY_UNIT = Map.of("MiB", 1L, "GiB", 1_024L, "TiB", 1_048_576L);

    /** Whole number. */
    public static final FieldType<Integer> WHOLE =
            ordered("whole number", Set.of(ScalarKind.NUMBER), FieldTypes::parseWhole, 0);

    /** Decimal number without unit, with up to six digits after the point. */
    public static final FieldType<Double> DECIMAL = ordered(
            "decimal number",
            Set.of(ScalarKind.NUMBER),
            text -> parseMatching(DECIMAL_NUMBER, text, "a decimal number", Double::valueOf),
            0.0);

    /** Processor cores with up to three digits after the point, read in thousandths. */
    public static final FieldType<Integer> CORES = ordered(
            "cores, decimal to thousandths",
            Set.of(ScalarKind.NUMBER),
            text -> parseMatching(CORES_NUMBER, text, "a number of cores to thousandths", FieldTypes::toMillis),
            0);

    /** Amount of money in the document's currency, read in millionths. */
    public static final FieldType<Long> MONEY = ordered(
            "money, decimal to millionths of the currency unit",
            Set.of(ScalarKind.NUMBER),
            text -> parseMatching(DECIMAL_NUMBER, text, "an amount of money", FieldTypes::toMicros),
            0L);

    /** Length of time, read in ms. */
    public static final FieldType<Long> DURATION = ordered(
            "duration in ms, s, m, h or d",
            Set.of(ScalarKind.TEXT, ScalarKind.NUMBER),
            text -> parseQuantity(text, MS_BY_UNIT, "ms, s, m, h or d"),
            0L);

    /** Memory, read in MiB. */
    public static final FieldType<Long> MEMORY = ordered(
            "memory in MiB, GiB or TiB",
            Set.of(ScalarKind.TEXT, ScalarKind.NUMBER),
            text -> parseQuantity(text, MIB_BY_UNIT, "MiB, GiB or TiB"),
            0L);

    /** True or false. */
    public static final FieldType<Boolean> FLAG =
            unordered("true or false", Set.of(ScalarKind.FLAG), FieldTypes::parseFlag, false);

    /** Currency code of three capital letters. */
    public static final FieldType<String> CURRENCY = unordered(
            "currency code of three capital letters",
            Set.of(ScalarKind.TEXT),
            text -> parseMatching(CURRENCY_CODE, text, "three capital letters", Function.identity()),
            "");

    /** SHA-256 digest in hexadecimal digits. */
    public static final FieldType<String> SHA256 = unordered(
            "SHA-256 in 64 lower-case hexadecimal digits",
            Set.of(ScalarKind.TEXT, ScalarKind.NUMBER),
            text -> parseMatching(SHA256_DIGITS, text, "64 lower-case hexadecimal digits", Function.identity()),
            "");

    /** Ed25519 public key; the placeholder is empty. */
    public static final FieldType<Optional<PublicKey>> PUBLIC_KEY = unordered(
            "Ed25519 public key, X.509 encoding in base64",
            Set.of(ScalarKind.TEXT),
            FieldTypes::parsePublicKey,
            Optional.empty());

    private FieldTypes() {}

    /**
     * Creates a type whose values are words, one for each constant of an enum.
     *
     * @param values the constants; the first one is the placeholder
     * @param wordOf returns the word of a constant
     * @param <T> the enum
     * @return the type
     */
    public static <T extends Enum<T>> FieldType<T> oneOf(List<T> values, Function<T, String> wordOf) {
        String label = values.stream().map(wordOf).collect(Collectors.joining(", ", "one of ", ""));
        Function<String, ParseResult<T>> parser = text -> values.stream()
                .filter(value -> wordOf.apply(value).equals(text))
                .findFirst()
                .<ParseResult<T>>map(ParseResult.Value::new)
                .orElseGet(
                        () -> new ParseResult.Invalid<>(ProblemCode.UNKNOWN_VALUE, "'" + text + "' is not " + label));
        return unordered(label, Set.of(ScalarKind.TEXT), parser, values.get(0));
    }

    /**
     * Returns the word of an enum constant: its name in lower case with hyphens.
     *
     * @param value the constant
     * @return the word
     */
    public static String wordOf(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static <T extends Comparable<T>> FieldType<T> ordered(
            String label, Set<ScalarKind> kinds, Function<String, ParseResult<T>> parser, T placeholder) {
        return new FieldType<>(label, kinds, parser, placeholder, Optional.of(Comparator.naturalOrder()));
    }

    private static <T> FieldType<T> unordered(
            String label, Set<ScalarKind> kinds, Function<String, ParseResult<T>> parser, T placeholder) {
        return new FieldType<>(label, kinds, parser, placeholder, Optional.empty());
    }

    private static <T> ParseResult<T> parseMatching(
            Pattern pattern, String text, String expected, Function<String, T> conversion) {
        if (!pattern.matcher(text).matches()) {
            return new ParseResult.Invalid<>(ProblemCode.MALFORMED_VALUE, "'" + text + "' is not " + expected);
        }
        return new ParseResult.Value<>(conversion.apply(text));
    }

    private static ParseResult<Integer> parseWhole(String text) {
        return parseMatching(WHOLE_NUMBER, text, "a whole number of at most 9 digits", Integer::valueOf);
    }

    private static ParseResult<Boolean> parseFlag(String text) {
        if (!Arrays.asList("true", "false").contains(text)) {
            return new ParseResult.Invalid<>(ProblemCode.MALFORMED_VALUE, "'" + text + "' is not true or false");
        }
        return new ParseResult.Value<>(Boolean.valueOf(text));
    }

    private static ParseResult<Long> parseQuantity(String text, Map<String, Long> factorByUnit, String units) {
        Matcher matcher = QUANTITY.matcher(text);
        if (!matcher.matches()) {
            return new ParseResult.Invalid<>(
                    ProblemCode.MALFORMED_VALUE, "'" + text + "' is not a whole number followed by " + units);
        }
        Long factor = factorByUnit.get(matcher.group(2));
        if (factor == null) {
            return new ParseResult.Invalid<>(ProblemCode.WRONG_UNIT, "'" + text + "' has not the unit " + units);
        }
        return new ParseResult.Value<>(Long.parseLong(matcher.group(1)) * factor);
    }

    private static ParseResult<Optional<PublicKey>> parsePublicKey(String text) {
        try {
            return new ParseResult.Value<>(Optional.of(Ed25519Keys.publicKey(text)));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return new ParseResult.Invalid<>(ProblemCode.MALFORMED_VALUE, "not an Ed25519 public key in base64");
        }
    }

    private static Integer toMillis(String text) {
        return new BigDecimal(text).movePointRight(MILLIS_DIGITS).intValueExact();
    }

    private static Long toMicros(String text) {
        return new BigDecimal(text).movePointRight(MICROS_DIGITS).longValueExact();
    }
}

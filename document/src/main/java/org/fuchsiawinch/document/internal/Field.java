package org.fuchsiawinch.document.internal;

import java.util.Optional;

import org.fuchsiawinch.document.FieldDefinition;
import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.internal.YamlNode.Scalar;

/**
 * Definition of one field: name, type, default and bounds. Immutable; the methods that change a property return a new
 * definition.
 *
 * @param <T> Java type of the value
 */
public final class Field<T> {

    private enum Presence {
        REQUIRED,
        OPTIONAL,
        DEFAULTED
    }

    private final String name;
    private final FieldType<T> type;
    private final Presence presence;
    private final String defaultText;
    private final String lowText;
    private final String highText;
    private final boolean repeated;
    private final String description;

    private Field(
            String name,
            FieldType<T> type,
            Presence presence,
            String defaultText,
            String lowText,
            String highText,
            boolean repeated,
            String description) {
        this.name = name;
        this.type = type;
        this.presence = presence;
        this.defaultText = defaultText;
        this.lowText = lowText;
        this.highText = highText;
        this.repeated = repeated;
        this.description = description;
    }

    /**
     * Creates the definition of a required field without bounds.
     *
     * @param name key in the file
     * @param type type of the value
     * @param description what the field does
     * @param <T> Java type of the value
     * @return the definition
     */
    public static <T> Field<T> of(String name, FieldType<T> type, String description) {
        return new Field<>(name, type, Presence.REQUIRED, "", "", "", false, description);
    }

    /**
     * Makes the field optional with a default.
     *
     * @param text the default as it would be written in the file
     * @return the definition
     */
    public Field<T> defaultTo(String text) {
        return new Field<>(name, type, Presence.DEFAULTED, text, lowText, highText, repeated, description);
    }

    /**
     * Makes the field optional without a default.
     *
     * @return the definition
     */
    public Field<T> optional() {
        return new Field<>(name, type, Presence.OPTIONAL, "", lowText, highText, repeated, description);
    }

    /**
     * Sets the bounds of the value.
     *
     * @param low lowest value as it would be written in the file
     * @param high highest value as it would be written in the file
     * @return the definition
     */
    public Field<T> between(String low, String high) {
        return new Field<>(name, type, presence, defaultText, low, high, repeated, description);
    }

    /**
     * Makes the field a list of at least one value.
     *
     * @return the definition
     */
    public Field<T> repeated() {
        return new Field<>(name, type, presence, defaultText, lowText, highText, true, description);
    }

    /**
     * Returns the key of the field.
     *
     * @return key in the file
     */
    public String name() {
        return name;
    }

    /**
     * Returns whether the field is required.
     *
     * @return true if it has no default and is not optional
     */
    public boolean required() {
        return presence == Presence.REQUIRED;
    }

    /**
     * Returns the default.
     *
     * @return the default, or empty if there is none
     */
    public Optional<T> defaultValue() {
        return presence == Presence.DEFAULTED ? parseText(defaultText) : Optional.empty();
    }

    /**
     * Returns the value that replaces an unreadable one.
     *
     * @return the placeholder of the type
     */
    public T placeholder() {
        return type.placeholder();
    }

    /**
     * Parses a scalar and checks its bounds.
     *
     * @param scalar the scalar
     * @return the value or its problem
     */
    public ParseResult<T> parse(Scalar scalar) {
        if (!type.kinds().contains(scalar.kind())) {
            return new ParseResult.Invalid<>(
                    ProblemCode.WRONG_TYPE, "'" + scalar.text() + "' has the wrong type, expected " + type.label());
        }
        ParseResult<T> parsed = type.parser().apply(scalar.text());
        if (parsed instanceof ParseResult.Value<T> value && !inBounds(value.value())) {
            return new ParseResult.Invalid<>(
                    ProblemCode.OUT_OF_BOUNDS,
                    "'" + scalar.text() + "' is not between " + lowText + " and " + highText);
        }
        return parsed;
    }

    /**
     * Returns the type as the documentation shows it.
     *
     * @return type and unit
     */
    public String typeLabel() {
        return repeated ? "list of " + type.label() : type.label();
    }

    /**
     * Returns the description of the field for the documentation.
     *
     * @param parentPath path of the mapping that holds the field
     * @return the description
     */
    public FieldDefinition definition(String parentPath) {
        String absent = presence == Presence.REQUIRED ? "required" : "none";
        return new FieldDefinition(
                parentPath.isEmpty() ? name : parentPath + "." + name,
                typeLabel(),
                presence == Presence.DEFAULTED ? defaultText : absent,
                lowText.isEmpty() ? "none" : lowText + " to " + highText,
                description);
    }

    private boolean inBounds(T value) {
        if (type.order().isEmpty() || lowText.isEmpty()) {
            return true;
        }
        T low = parseText(lowText).orElse(value);
        T high = parseText(highText).orElse(value);
        return type.order().get().compare(low, value) <= 0 && type.order().get().compare(value, high) <= 0;
    }

    private Optional<T> parseText(String text) {
        return type.parser().apply(text) instanceof ParseResult.Value<T> value
                ? Optional.of(value.value())
                : Optional.empty();
    }
}

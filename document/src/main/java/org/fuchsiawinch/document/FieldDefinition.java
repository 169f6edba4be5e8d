package org.fuchsiawinch.document;

/**
 * Description of one field, as the documentation shows it.
 *
 * @param path path of the field, with names chosen by the teams in angle brackets
 * @param type type and unit of the value
 * @param defaultText value used when the field is absent, "required" or "none"
 * @param bounds lowest and highest value, or the allowed words; "none" if there are none
 * @param description what the field does
 */
public record FieldDefinition(String path, String type, String defaultText, String bounds, String description) {}

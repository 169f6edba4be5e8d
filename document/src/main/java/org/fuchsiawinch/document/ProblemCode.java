package org.fuchsiawinch.document;

/** Kinds of problems in a document. */
public enum ProblemCode {
    /** The text is not valid YAML, or uses YAML features that the document does not allow. */
    SYNTAX,
    /** The text is longer or nested deeper than the reader's limit. */
    TOO_LARGE,
    /** There is no such field at this place. */
    UNKNOWN_FIELD,
    /** A mapping contains the same key twice. */
    DUPLICATE_KEY,
    /** A required field or section is absent. */
    MISSING_FIELD,
    /** The value does not have the field's type. */
    WRONG_TYPE,
    /** The unit is missing or not one of the field's units. */
    WRONG_UNIT,
    /** The value is below the lower or above the upper bound. */
    OUT_OF_BOUNDS,
    /** The value is not one of the allowed words. */
    UNKNOWN_VALUE,
    /** The name or the encoded value is malformed. */
    MALFORMED_VALUE,
    /** The value names something that the document does not define. */
    UNKNOWN_REFERENCE,
    /** Two parts of the document contradict each other. */
    CONTRADICTION,
    /** The proposed section equals the one in force. */
    UNCHANGED
}

package org.fuchsiawinch.document;

/** Kinds of problems of a document. */
public enum ProblemCode {
    /** The text is no YAML, or uses YAML features that the document does not allow. */
    SYNTAX,
    /** The text or its nesting exceeds the reader's limit. */
    TOO_LARGE,
    /** The field is not known at this place. */
    UNKNOWN_FIELD,
    /** The same key stands twice in one mapping. */
    DUPLICATE_KEY,
    /** A required field or section is absent. */
    MISSING_FIELD,
    /** The value has another type than the field. */
    WRONG_TYPE,
    /** The unit is missing or not one of the field's units. */
    WRONG_UNIT,
    /** The value is below the lower or above the upper bound. */
    OUT_OF_BOUNDS,
    /** The value is none of the allowed words. */
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

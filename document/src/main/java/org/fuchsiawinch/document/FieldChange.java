package org.fuchsiawinch.document;

import java.util.Optional;

/**
 * A field whose value differs between two documents.
 *
 * @param section section of the field
 * @param path path of the field
 * @param before value in the first document as written; empty if the field is absent there
 * @param after value in the second document as written; empty if the field is absent there
 */
public record FieldChange(Section section, String path, Optional<String> before, Optional<String> after) {}

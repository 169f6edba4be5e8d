package org.fuchsiawinch.document.ledger;

import java.util.Optional;

import org.fuchsiawinch.document.Section;

/**
 * Version in the document's history.
 *
 * @param version the version
 * @param offset offset of the log record that created it
 * @param team team that signed the change; empty for the first document
 * @param section section that was changed; empty for the first document
 * @param signature signature of the change; empty for the first document
 * @param digest SHA-256 of the whole text in 64 lower-case hexadecimal digits
 */
public record VersionEntry(
        int version, long offset, String team, Optional<Section> section, String signature, String digest) {}

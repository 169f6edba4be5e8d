package org.fuchsiawinch.document.ledger;

import java.nio.charset.StandardCharsets;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.Section;

/**
 * Bytes that a signature covers: format name, section, version and digest of the base, and the new text. The digest
 * binds a signature to one history of versions, so that a change signed for another installation is not valid here.
 * Stateless.
 */
final class SignedContent {

    private static final String FORMAT = "fuchsiawinch-section/1";

    private SignedContent() {}

    static byte[] bytes(Document base, Section section, String sectionText) {
        String content =
                String.join("\n", FORMAT, section.key(), Integer.toString(base.version()), base.digest(), sectionText);
        return content.getBytes(StandardCharsets.UTF_8);
    }
}

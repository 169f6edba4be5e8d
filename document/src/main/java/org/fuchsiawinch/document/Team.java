package org.fuchsiawinch.document;

import java.security.PublicKey;
import java.util.Set;

/**
 * A team that owns sections of the document.
 *
 * @param name name of the team
 * @param publicKey Ed25519 key that verifies the team's signatures
 * @param sections sections that the team owns
 */
public record Team(String name, PublicKey publicKey, Set<Section> sections) {

    /** Copies the set. */
    public Team {
        sections = Set.copyOf(sections);
    }
}

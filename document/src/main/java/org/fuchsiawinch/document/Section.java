package org.fuchsiawinch.document;

import java.util.Arrays;
import java.util.Optional;

/** The sections of the document. Each is owned by one team, which signs its changes. */
public enum Section {
    /** Teams, their public keys and the sections that they own. */
    TEAMS("teams"),
    /** Workspaces, guarantees, quotas, lending, estimates, faults and queue bounds. */
    CAPACITY("capacity"),
    /** Weights of completion time and fragmentation. */
    OBJECTIVE("objective"),
    /** Prices and spending limits. */
    SPENDING("spending"),
    /** Service levels that the burn report measures. */
    SERVICE_LEVELS("service-levels"),
    /** Digests of the tokens of workspaces and operators. */
    ACCESS("access");

    private final String key;

    Section(String key) {
        this.key = key;
    }

    /**
     * Returns the section's key at the top level of the document.
     *
     * @return the key as written in the file
     */
    public String key() {
        return key;
    }

    /**
     * Returns the section with a key.
     *
     * @param key the key as written in the file
     * @return the section, or empty if no section has that key
     */
    public static Optional<Section> ofKey(String key) {
        return Arrays.stream(values())
                .filter(section -> section.key.equals(key))
                .findFirst();
    }
}

package org.fuchsiawinch.document;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.fuchsiawinch.document.internal.Digests;
import org.fuchsiawinch.model.Policy;

/**
 * A valid document with its text. Immutable and thread-safe.
 *
 * @param version version of the document, from 1; 0 if it is not accepted yet
 * @param text the whole text as written by the teams
 * @param sectionTexts text of each section in the order of the file, including the comments above it; concatenated
 *     they are the whole text
 * @param teams teams by name
 * @param currency currency of all amounts of money, for display
 * @param policy the document, compiled for the scheduler
 * @param serviceLevels service levels of all workspaces
 * @param access token digests of workspaces and operators
 */
public record Document(
        int version,
        String text,
        Map<Section, String> sectionTexts,
        Map<String, Team> teams,
        String currency,
        Policy policy,
        List<ServiceLevel> serviceLevels,
        Access access) {

    /** Copies the collections. */
    public Document {
        sectionTexts = Collections.unmodifiableMap(new LinkedHashMap<>(sectionTexts));
        teams = Collections.unmodifiableMap(new TreeMap<>(teams));
        serviceLevels = List.copyOf(serviceLevels);
    }

    /**
     * Returns a copy of this document with another version.
     *
     * @param newVersion the version
     * @return the copy; its policy has the same version
     */
    public Document withVersion(int newVersion) {
        Policy newPolicy = new Policy(
                newVersion,
                policy.objective(),
                policy.workspaces(),
                policy.lending(),
                policy.estimates(),
                policy.faults(),
                policy.admission(),
                policy.prices());
        return new Document(newVersion, text, sectionTexts, teams, currency, newPolicy, serviceLevels, access);
    }

    /**
     * Returns the whole text with one section replaced.
     *
     * @param section the section
     * @param sectionText its new text
     * @return the whole text, which may be invalid
     */
    public String textWith(Section section, String sectionText) {
        StringBuilder whole = new StringBuilder();
        sectionTexts.forEach((each, own) -> whole.append(each == section ? sectionText : own));
        return whole.toString();
    }

    /**
     * Returns the digest of the text.
     *
     * @return SHA-256 in 64 lower-case hexadecimal digits
     */
    public String digest() {
        return Digests.sha256Hex(text);
    }

    /**
     * Returns the team that owns a section.
     *
     * @param section the section
     * @return the owner; empty only if the document was not created by {@link DocumentReader}
     */
    public Optional<Team> ownerOf(Section section) {
        return teams.values().stream()
                .filter(team -> team.sections().contains(section))
                .findFirst();
    }
}

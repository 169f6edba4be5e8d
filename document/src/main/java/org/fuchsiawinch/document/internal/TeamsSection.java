package org.fuchsiawinch.document.internal;

import java.security.PublicKey;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.Team;

/** Fields and checks of the section {@code teams}. Stateless. */
final class TeamsSection {

    static final Field<Optional<PublicKey>> PUBLIC_KEY =
            Field.of("public-key", FieldTypes.PUBLIC_KEY, "Checks the team's signatures.");
    static final Field<Section> SECTIONS = Field.of(
                    "sections",
                    FieldTypes.oneOf(List.of(Section.values()), Section::key),
                    "Sections that the team owns. Each section has exactly one owner.")
            .repeated();
    static final Group GROUP = Group.map(Section.TEAMS.key(), "team").withFields(PUBLIC_KEY, SECTIONS);

    private TeamsSection() {}

    /**
     * Reads the section.
     *
     * @param root cursor on the document
     * @return teams by name
     */
    static Map<String, Team> read(Cursor root) {
        Map<String, Team> teams = new LinkedHashMap<>();
        Map<Section, String> owners = new EnumMap<>(Section.class);
        root.entries(GROUP).forEach((name, cursor) -> {
            Set<Section> owned = ownedSections(name, cursor, owners);
            cursor.read(PUBLIC_KEY).ifPresent(key -> teams.put(name, new Team(name, key, owned)));
        });
        EnumSet<Section> orphans = EnumSet.allOf(Section.class);
        orphans.removeAll(owners.keySet());
        orphans.forEach(section -> root.report(
                Section.TEAMS.key(), ProblemCode.CONTRADICTION, "section " + section.key() + " has no owner"));
        return teams;
    }

    private static Set<Section> ownedSections(String name, Cursor cursor, Map<Section, String> owners) {
        Set<Section> owned = EnumSet.noneOf(Section.class);
        for (Section section : cursor.readAll(SECTIONS)) {
            owned.add(section);
            String other = owners.putIfAbsent(section, name);
            if (other != null) {
                cursor.report(
                        SECTIONS.name(),
                        ProblemCode.CONTRADICTION,
                        "section " + section.key() + " is already owned by " + other);
            }
        }
        return owned;
    }
}

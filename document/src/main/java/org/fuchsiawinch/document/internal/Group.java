package org.fuchsiawinch.document.internal;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.fuchsiawinch.document.FieldDefinition;

/**
 * Definition of one or more mappings: their fields and nested groups. A group is a single mapping, a mapping from names
 * chosen by a team to mappings, or a list of mappings. Immutable.
 *
 * @param name key in the file
 * @param kind how the group is repeated
 * @param entryName placeholder in angle brackets for the key of an entry; empty unless the group is a map
 * @param required whether the group must be present
 * @param fields fields of each mapping
 * @param groups nested groups of each mapping
 */
public record Group(
        String name, Kind kind, String entryName, boolean required, List<Field<?>> fields, List<Group> groups) {

    /** How a group is repeated. */
    public enum Kind {
        /** One mapping. */
        OBJECT,
        /** A mapping from names to mappings. */
        MAP,
        /** A list of mappings. */
        LIST
    }

    /**
     * Creates the definition of a required single mapping.
     *
     * @param name key in the file
     * @return the definition
     */
    public static Group object(String name) {
        return new Group(name, Kind.OBJECT, "", true, List.of(), List.of());
    }

    /**
     * Creates the definition of a required mapping from names to mappings.
     *
     * @param name key in the file
     * @param entryName what the names identify
     * @return the definition
     */
    public static Group map(String name, String entryName) {
        return new Group(name, Kind.MAP, "<" + entryName + ">", true, List.of(), List.of());
    }

    /**
     * Creates the definition of a required list of mappings.
     *
     * @param name key in the file
     * @return the definition
     */
    public static Group list(String name) {
        return new Group(name, Kind.LIST, "", true, List.of(), List.of());
    }

    /**
     * Makes the group optional.
     *
     * @return the definition
     */
    public Group optional() {
        return new Group(name, kind, entryName, false, fields, groups);
    }

    /**
     * Sets the fields.
     *
     * @param newFields the fields
     * @return the definition
     */
    public Group withFields(Field<?>... newFields) {
        return new Group(name, kind, entryName, required, List.of(newFields), groups);
    }

    /**
     * Sets the nested groups.
     *
     * @param newGroups the groups
     * @return the definition
     */
    public Group withGroups(Group... newGroups) {
        return new Group(name, kind, entryName, required, fields, List.of(newGroups));
    }

    /**
     * Returns the keys that a mapping of this group may have.
     *
     * @return names of fields and groups
     */
    public Set<String> memberNames() {
        return Stream.concat(fields.stream().map(Field::name), groups.stream().map(Group::name))
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the descriptions of all fields of this group and its nested groups.
     *
     * @param parentPath path of the mapping that holds the group
     * @return the descriptions; a group's own fields come before those of its nested groups
     */
    public Stream<FieldDefinition> definitions(String parentPath) {
        String path = entryPath(parentPath);
        return Stream.concat(
                fields.stream().map(field -> field.definition(path)),
                groups.stream().flatMap(group -> group.definitions(path)));
    }

    private String entryPath(String parentPath) {
        String path = parentPath.isEmpty() ? name : parentPath + "." + name;
        if (kind == Kind.MAP) {
            return path + "." + entryName;
        }
        return kind == Kind.LIST ? path + "[]" : path;
    }
}

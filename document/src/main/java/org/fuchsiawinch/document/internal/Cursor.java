package org.fuchsiawinch.document.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.internal.YamlNode.Mapping;
import org.fuchsiawinch.document.internal.YamlNode.Member;
import org.fuchsiawinch.document.internal.YamlNode.Scalar;
import org.fuchsiawinch.document.internal.YamlNode.ScalarKind;
import org.fuchsiawinch.document.internal.YamlNode.Sequence;

/**
 * Reads the members of one mapping according to their definitions and reports each problem with its location. A value
 * that cannot be read is replaced by its type's placeholder, so that one pass finds all problems. Not thread-safe.
 */
public final class Cursor {

    private static final Pattern ENTRY_NAME = Pattern.compile("[a-z][a-z0-9-]{0,62}");

    private final Group group;
    private final Mapping mapping;
    private final String path;
    private final ProblemCollector problems;

    private Cursor(Group group, Mapping mapping, String path, ProblemCollector problems) {
        this.group = group;
        this.mapping = mapping;
        this.path = path;
        this.problems = problems;
        reportUnknownMembers();
    }

    /**
     * Creates a cursor at the root of a document.
     *
     * @param group definition of the root
     * @param mapping the root
     * @param problems receives the problems found
     * @return the cursor
     */
    public static Cursor atRoot(Group group, Mapping mapping, ProblemCollector problems) {
        return new Cursor(group, mapping, "", problems);
    }

    /**
     * Reads a field that is required or has a default.
     *
     * @param field the field
     * @param <T> Java type of the value
     * @return the value; if it is absent or not valid, the default, or the placeholder if there is no default
     */
    public <T> T read(Field<T> field) {
        return readOptional(field).or(field::defaultValue).orElse(field.placeholder());
    }

    /**
     * Reads a field that may be absent.
     *
     * @param field the field
     * @param <T> Java type of the value
     * @return the value; empty if it is absent or a problem was reported
     */
    public <T> Optional<T> readOptional(Field<T> field) {
        Member member = mapping.members().get(field.name());
        if (member == null) {
            reportMissing(field);
            return Optional.empty();
        }
        return parse(field, member.value(), memberPath(field.name()));
    }

    /**
     * Reads a repeated field.
     *
     * @param field the field
     * @param <T> Java type of an item
     * @return the items that could be read; empty if the field is absent
     */
    public <T> List<T> readAll(Field<T> field) {
        Member member = mapping.members().get(field.name());
        if (member == null) {
            reportMissing(field);
            return List.of();
        }
        String fieldPath = memberPath(field.name());
        if (!(member.value() instanceof Sequence sequence)) {
            problems.add(member.keyLine(), fieldPath, ProblemCode.WRONG_TYPE, "expected " + field.typeLabel());
            return List.of();
        }
        if (sequence.items().isEmpty()) {
            problems.add(member.keyLine(), fieldPath, ProblemCode.MISSING_FIELD, "the list is empty");
        }
        List<T> values = new ArrayList<>();
        for (int i = 0; i < sequence.items().size(); i++) {
            parse(field, sequence.items().get(i), fieldPath + "[" + i + "]").ifPresent(values::add);
        }
        return values;
    }

    /**
     * Returns a cursor on a single mapping. If a required mapping is absent, one problem is reported, and its fields
     * read as placeholders without further problems. An absent optional mapping reads as an empty one.
     *
     * @param child definition of the mapping
     * @return cursor on the mapping
     */
    public Cursor object(Group child) {
        Optional<Cursor> found = optionalObject(child);
        if (found.isPresent()) {
            return found.get();
        }
        boolean empty = !child.required() && !mapping.members().containsKey(child.name());
        ProblemCollector sink = empty ? problems : new ProblemCollector("");
        return new Cursor(child, new Mapping(line(), Map.of()), memberPath(child.name()), sink);
    }

    /**
     * Returns a cursor on a single mapping that may be absent.
     *
     * @param child definition of the mapping
     * @return cursor on the mapping; empty if it is absent or not a mapping
     */
    public Optional<Cursor> optionalObject(Group child) {
        return member(child)
                .flatMap(member -> asMapping(member.value(), member.keyLine(), memberPath(child.name())))
                .map(found -> new Cursor(child, found, memberPath(child.name()), problems));
    }

    /**
     * Returns a cursor on each entry of a mapping from names to mappings.
     *
     * @param child definition of the entries
     * @return cursors by name, in the order of the file
     */
    public Map<String, Cursor> entries(Group child) {
        Map<String, Cursor> cursors = new LinkedHashMap<>();
        String childPath = memberPath(child.name());
        Optional<Mapping> found =
                member(child).flatMap(member -> asMapping(member.value(), member.keyLine(), childPath));
        Map<String, Member> members = found.map(Mapping::members).orElse(Map.of());
        members.forEach((name, member) -> {
            String entryPath = childPath + "." + name;
            if (!ENTRY_NAME.matcher(name).matches()) {
                problems.add(
                        member.keyLine(),
                        entryPath,
                        ProblemCode.MALFORMED_VALUE,
                        "a name has 1 to 63 lower-case letters, digits or hyphens and starts with a letter");
                return;
            }
            asMapping(member.value(), member.keyLine(), entryPath)
                    .ifPresent(entry -> cursors.put(name, new Cursor(child, entry, entryPath, problems)));
        });
        return cursors;
    }

    /**
     * Returns a cursor on each item of a list of mappings.
     *
     * @param child definition of the items
     * @return the cursors in the order of the items
     */
    public List<Cursor> items(Group child) {
        String childPath = memberPath(child.name());
        Optional<Member> member = member(child);
        if (member.isEmpty()) {
            return List.of();
        }
        if (!(member.get().value() instanceof Sequence sequence)) {
            problems.add(member.get().keyLine(), childPath, ProblemCode.WRONG_TYPE, "expected a list");
            return List.of();
        }
        List<Cursor> cursors = new ArrayList<>();
        for (int i = 0; i < sequence.items().size(); i++) {
            YamlNode item = sequence.items().get(i);
            String itemPath = childPath + "[" + i + "]";
            asMapping(item, item.line(), itemPath)
                    .ifPresent(entry -> cursors.add(new Cursor(child, entry, itemPath, problems)));
        }
        return cursors;
    }

    /**
     * Reports a problem of a member, or of the whole mapping if the member is absent.
     *
     * @param name key of the member
     * @param code kind of the problem
     * @param detail what was found and what is expected
     */
    public void report(String name, ProblemCode code, String detail) {
        Member member = mapping.members().get(name);
        problems.add(member == null ? line() : member.keyLine(), memberPath(name), code, detail);
    }

    /**
     * Reports a problem of the whole mapping.
     *
     * @param code kind of the problem
     * @param detail what was found and what is expected
     */
    public void report(ProblemCode code, String detail) {
        problems.add(line(), path, code, detail);
    }

    private int line() {
        return mapping.line();
    }

    private String memberPath(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private Optional<Member> member(Group child) {
        Member member = mapping.members().get(child.name());
        if (member == null && child.required()) {
            problems.add(line(), memberPath(child.name()), ProblemCode.MISSING_FIELD, "required");
        }
        return Optional.ofNullable(member);
    }

    private <T> Optional<T> parse(Field<T> field, YamlNode node, String fieldPath) {
        if (!(node instanceof Scalar scalar) || scalar.kind() == ScalarKind.EMPTY) {
            problems.add(node.line(), fieldPath, ProblemCode.WRONG_TYPE, "expected " + field.typeLabel());
            return Optional.empty();
        }
        ParseResult<T> parsed = field.parse(scalar);
        if (parsed instanceof ParseResult.Invalid<T> invalid) {
            problems.add(scalar.line(), fieldPath, invalid.code(), invalid.detail());
            return Optional.empty();
        }
        return Optional.of(((ParseResult.Value<T>) parsed).value());
    }

    private Optional<Mapping> asMapping(YamlNode node, int line, String nodePath) {
        if (node instanceof Mapping found) {
            return Optional.of(found);
        }
        problems.add(line, nodePath, ProblemCode.WRONG_TYPE, "expected a mapping");
        return Optional.empty();
    }

    private void reportMissing(Field<?> field) {
        if (field.required()) {
            report(field.name(), ProblemCode.MISSING_FIELD, "required, " + field.typeLabel());
        }
    }

    private void reportUnknownMembers() {
        mapping.members().forEach((name, member) -> {
            if (!group.memberNames().contains(name)) {
                problems.add(
                        member.keyLine(),
                        memberPath(name),
                        ProblemCode.UNKNOWN_FIELD,
                        "known here: "
                                + String.join(
                                        ", ",
                                        group.memberNames().stream().sorted().toList()));
            }
        });
    }
}

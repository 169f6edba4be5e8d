package org.fuchsiawinch.document.internal;

import java.util.List;
import java.util.Map;

/** Node of the YAML tree with its line. */
public sealed interface YamlNode {

    /**
     * Returns the node's line.
     *
     * @return line in the file, from 1
     */
    int line();

    /** Kinds of scalars. */
    enum ScalarKind {
        /** Text, quoted or plain. */
        TEXT,
        /** Whole or decimal number. */
        NUMBER,
        /** True or false. */
        FLAG,
        /** No value. */
        EMPTY
    }

    /**
     * A single value.
     *
     * @param line line in the file, from 1
     * @param kind kind of the value
     * @param text the value as written
     */
    record Scalar(int line, ScalarKind kind, String text) implements YamlNode {}

    /**
     * A sequence.
     *
     * @param line line in the file, from 1
     * @param items the items in order
     */
    record Sequence(int line, List<YamlNode> items) implements YamlNode {}

    /**
     * A mapping.
     *
     * @param line line in the file, from 1
     * @param members members by key, in order
     */
    record Mapping(int line, Map<String, Member> members) implements YamlNode {}

    /**
     * A member of a mapping.
     *
     * @param keyLine line of the key, from 1
     * @param value the value
     */
    record Member(int keyLine, YamlNode value) {}
}

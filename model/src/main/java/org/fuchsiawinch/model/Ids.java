package org.fuchsiawinch.model;

/** Checks shared by all identifiers. */
final class Ids {

    private static final int MAX_LENGTH_CHARS = 128;

    private Ids() {}

    static void check(String type, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalIdException(type, "blank");
        }
        if (value.length() > MAX_LENGTH_CHARS) {
            throw new IllegalIdException(type, "longer than " + MAX_LENGTH_CHARS + " characters");
        }
        if (value.chars().anyMatch(Character::isWhitespace)) {
            throw new IllegalIdException(type, "has white space");
        }
    }
}

package org.fuchsiawinch.document;

/** What a service level measures. */
public enum ServiceLevelKind {
    /** Time from submission to start of work that a guarantee covers. */
    GUARANTEED_START("guaranteed-start"),
    /** Time from submission to the answer. */
    COMPLETION("completion"),
    /** Requests whose callers received the whole answer. */
    WHOLE_ANSWERS("whole-answers");

    private final String key;

    ServiceLevelKind(String key) {
        this.key = key;
    }

    /**
     * Returns the kind's key in the document.
     *
     * @return the key as written in the file
     */
    public String key() {
        return key;
    }
}

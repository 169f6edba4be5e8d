package org.fuchsiawinch.document;

/** What a service level measures. */
public enum ServiceLevelKind {
    /** Time from submit to start of work that a guarantee covers. */
    GUARANTEED_START("guaranteed-start"),
    /** Time from submit to the answer. */
    COMPLETION("completion"),
    /** Requests whose caller got the whole answer. */
    WHOLE_ANSWERS("whole-answers");

    private final String key;

    ServiceLevelKind(String key) {
        this.key = key;
    }

    /**
     * Gives the kind's key in the document.
     *
     * @return the key as written in the file
     */
    public String key() {
        return key;
    }
}

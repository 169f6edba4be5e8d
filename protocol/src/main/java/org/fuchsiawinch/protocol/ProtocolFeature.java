package org.fuchsiawinch.protocol;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/**
 * Safety mechanisms of the protocol. All are enabled by default; a test disables one to show which failure it prevents.
 */
public enum ProtocolFeature {
    /** The owner acts on a placement or release only after it has read its own record back from the log. */
    READ_BACK,
    /** Duplicate records and duplicate jobs have no effect. */
    DEDUPLICATION,
    /** No part of a gang runs before all of its parts are prepared. */
    GANG_TRIAL,
    /**
     * Workers reject commands whose epoch is below the highest epoch they have seen; an owner that learns of a higher
     * epoch grants no further leases.
     */
    FENCING,
    /** A document change has no effect unless its base version is the version in force. */
    DOCUMENT_BASE_CHECK;

    /**
     * Returns the features that are enabled by default.
     *
     * @return all features as an unmodifiable set
     */
    public static Set<ProtocolFeature> defaults() {
        return Collections.unmodifiableSet(EnumSet.allOf(ProtocolFeature.class));
    }

    /**
     * Returns all features except one.
     *
     * @param disabled the feature to leave out
     * @return the other features as an unmodifiable set
     */
    public static Set<ProtocolFeature> without(ProtocolFeature disabled) {
        return Collections.unmodifiableSet(EnumSet.complementOf(EnumSet.of(disabled)));
    }
}

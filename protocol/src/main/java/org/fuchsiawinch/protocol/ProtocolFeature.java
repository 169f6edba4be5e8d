package org.fuchsiawinch.protocol;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/** Safety mechanisms of the protocol. All are enabled by default; tests disable them to show what each prevents. */
public enum ProtocolFeature {
    /** The owner acts on a placement or release only after it has read its own record back. */
    READ_BACK,
    /** Repeated records and repeated jobs are void. */
    DEDUPLICATION,
    /** No part of a gang is released before all of its parts are prepared. */
    GANG_TRIAL,
    /** Workers reject commands of epochs below the highest one seen; an owner that is rejected so grants no leases. */
    FENCING,
    /** A document change is void unless its base is the version in force. */
    DOCUMENT_BASE_CHECK;

    /**
     * Gives the features that are enabled by default.
     *
     * @return all features, read-only
     */
    public static Set<ProtocolFeature> defaults() {
        return Collections.unmodifiableSet(EnumSet.allOf(ProtocolFeature.class));
    }

    /**
     * Gives all features but one.
     *
     * @param disabled the feature to leave out
     * @return the others, read-only
     */
    public static Set<ProtocolFeature> without(ProtocolFeature disabled) {
        return Collections.unmodifiableSet(EnumSet.complementOf(EnumSet.of(disabled)));
    }
}

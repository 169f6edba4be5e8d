package org.fuchsiawinch.core.internal;

/** The part of a worker's capacity that a placement may use. */
enum Space {
    /** Capacity that is neither used nor held for a pending start. */
    FREE,
    /** Free capacity that no guarantee needs. */
    SPARE,
    /** Capacity that neither a guarantee nor non-preemptible work needs, even if lent work uses it now. */
    CLAIMABLE,
    /** Unlimited; only the request's own limit applies. */
    ANY
}

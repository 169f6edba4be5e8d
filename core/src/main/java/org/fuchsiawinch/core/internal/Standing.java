package org.fuchsiawinch.core.internal;

/** The entitlement under which an attempt uses its workers. */
enum Standing {
    /** Runs inside its workspace's guarantee. */
    GUARANTEED,
    /** Runs outside a guarantee, on capacity that no guarantee needs, and is never reclaimed. */
    FIRM,
    /** Runs outside a guarantee and may be reclaimed. */
    LENT
}

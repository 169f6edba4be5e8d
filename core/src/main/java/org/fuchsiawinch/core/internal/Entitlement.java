package org.fuchsiawinch.core.internal;

/** The entitlement under which an attempt uses its workers. */
enum Entitlement {
    /** Runs inside its workspace's guarantee. */
    GUARANTEED,
    /** Runs outside a guarantee, on capacity that no guarantee needs, and is never reclaimed. */
    NON_PREEMPTIBLE,
    /** Runs outside a guarantee and may be reclaimed. */
    LENT
}

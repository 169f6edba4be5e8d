package org.fuchsiawinch.core.internal;

/** On what right an attempt uses its workers. */
enum Standing {
    /** Inside its workspace's guarantee. */
    GUARANTEED,
    /** Outside a guarantee, on capacity that no guarantee needs, and never reclaimed. */
    FIRM,
    /** Outside a guarantee; may be reclaimed. */
    LENT
}

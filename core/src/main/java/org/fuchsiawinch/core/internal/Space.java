package org.fuchsiawinch.core.internal;

/** Which part of a worker's capacity a placement may take. */
enum Space {
    /** What is neither used nor held for a pending start. */
    FREE,
    /** What is free and also needed by no guarantee. */
    SPARE,
    /** What no guarantee and no firm work needs, whether or not lent work uses it now. */
    CLAIMABLE,
    /** Everything; the request itself limits the room. */
    ANY
}

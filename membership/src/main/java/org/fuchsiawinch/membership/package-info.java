/**
 * Membership between nodes, for routing, worker liaison and peers' help. It never grants authority: ownership is
 * decided by the log alone. All types are pure: no sockets, clocks or threads; seeds and the present time are
 * arguments.
 */
package org.fuchsiawinch.membership;

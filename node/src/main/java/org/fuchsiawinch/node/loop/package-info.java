/**
 * The thread that owns the node state machine, and its ring.
 */
package org.fuchsiawinch.node.loop;

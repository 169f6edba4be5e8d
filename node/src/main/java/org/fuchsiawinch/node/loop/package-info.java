/**
 * The thread that owns the node state machine, and its ring buffer.
 */
package org.fuchsiawinch.node.loop;

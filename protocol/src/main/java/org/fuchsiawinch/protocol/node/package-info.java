/**
 * The node state machine without input or output.
 */
package org.fuchsiawinch.protocol.node;

/**
 * The node's state machine, which performs no input or output itself.
 */
package org.fuchsiawinch.protocol.node;

/**
 * Components of the node state machine.
 */
package org.fuchsiawinch.protocol.node.internal;

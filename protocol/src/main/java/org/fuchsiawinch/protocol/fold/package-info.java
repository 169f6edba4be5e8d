/**
 * Deterministic state that every node derives from the log.
 */
package org.fuchsiawinch.protocol.fold;

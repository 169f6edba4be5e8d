/**
 * Log records, their fold, and the node state machine without input or output.
 */
package org.fuchsiawinch.protocol;

/**
 * Safety mechanisms of the protocol between nodes, the log and workers.
 */
package org.fuchsiawinch.protocol;

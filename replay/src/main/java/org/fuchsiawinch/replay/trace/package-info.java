/** Trace format: typed events, reader and writer. */
package org.fuchsiawinch.replay.trace;

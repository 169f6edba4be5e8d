/** The trace format: typed events, reader with located problems, writer. */
package org.fuchsiawinch.replay.trace;

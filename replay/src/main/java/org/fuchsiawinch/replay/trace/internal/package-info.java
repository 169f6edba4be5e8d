/** Field readers of the trace format; not for use outside the trace package. */
package org.fuchsiawinch.replay.trace.internal;

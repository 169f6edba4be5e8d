/** Reading of single fields; not for use outside the trace package. */
package org.fuchsiawinch.replay.trace.internal;

/** Records worked out from the replay of a trace. */
package org.fuchsiawinch.report.replay;

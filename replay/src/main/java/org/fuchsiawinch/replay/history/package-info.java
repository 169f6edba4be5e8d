/** What happened in a replay, as facts that the checker and the measures read. */
package org.fuchsiawinch.replay.history;

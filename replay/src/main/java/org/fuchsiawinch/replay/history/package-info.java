/** Events of a replay, as read by the checker and the measures. */
package org.fuchsiawinch.replay.history;

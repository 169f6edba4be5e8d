/** Expected outcomes of traces and their comparison with replays. */
package org.fuchsiawinch.replay.outcome;

/** Replay of a trace against a scheduler on a virtual clock, with fake workers and callers. */
package org.fuchsiawinch.replay.engine;

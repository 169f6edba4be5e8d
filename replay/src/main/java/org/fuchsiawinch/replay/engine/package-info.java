/** Replay of a trace against a scheduler on a virtual clock, with small fake workers. */
package org.fuchsiawinch.replay.engine;

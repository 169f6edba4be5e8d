/** Stated outcomes of traces and how a replay compares with them. */
package org.fuchsiawinch.replay.outcome;

/** Figures of one replay, worked out from its history. */
package org.fuchsiawinch.replay.measure;

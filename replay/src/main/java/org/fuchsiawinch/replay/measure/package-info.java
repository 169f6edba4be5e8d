/** Measures of one replay, computed from its history. */
package org.fuchsiawinch.replay.measure;

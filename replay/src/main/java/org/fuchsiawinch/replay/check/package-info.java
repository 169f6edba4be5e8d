/** Judges a history against the promises, without any state of the scheduler. */
package org.fuchsiawinch.replay.check;

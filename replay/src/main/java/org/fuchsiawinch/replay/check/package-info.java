/** Checks histories against the promises, independently of the scheduler's state. */
package org.fuchsiawinch.replay.check;

/**
 * Trace replay, baselines and the independent checker.
 */
package org.fuchsiawinch.replay;

/**
 * Simple schedulers that serve as baselines in replays.
 */
package org.fuchsiawinch.core.baseline;

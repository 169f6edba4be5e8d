/**
 * Replay of traces under the guarantee policy and its baselines, with an independent checker of the promises.
 */
package org.fuchsiawinch.replay;

/** Seeded generator of the sample traces. */
package org.fuchsiawinch.replay.generate;

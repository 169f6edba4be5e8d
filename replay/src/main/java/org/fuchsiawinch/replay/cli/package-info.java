/** Command lines of the replay binaries. */
package org.fuchsiawinch.replay.cli;

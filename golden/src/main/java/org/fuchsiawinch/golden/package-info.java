/**
 * Golden-file tests of whole sessions. Each runs on a virtual clock, and the transcript of all exchanges among callers,
 * operators, nodes, log and workers is compared with a file.
 */
package org.fuchsiawinch.golden;

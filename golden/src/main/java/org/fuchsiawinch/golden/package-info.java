/**
 * Golden-file tests of whole sessions. A session runs on a virtual clock; the transcript of all exchanges among
 * callers, operators, nodes, log and workers is compared with the session's file.
 */
package org.fuchsiawinch.golden;

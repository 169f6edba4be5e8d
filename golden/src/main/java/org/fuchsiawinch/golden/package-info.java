/**
 * Golden files of whole sessions: every exchange of callers, operators, nodes, log and workers on a virtual clock.
 */
package org.fuchsiawinch.golden;

/** Derivation of records from the replay of a trace. */
package org.fuchsiawinch.report.replay;

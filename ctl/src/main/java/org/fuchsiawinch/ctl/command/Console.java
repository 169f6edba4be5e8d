package org.fuchsiawinch.ctl.command;

import java.io.PrintStream;

/**
 * Output streams of a command.
 *
 * @param out receives the result
 * @param err receives problems and notes
 */
public record Console(PrintStream out, PrintStream err) {}

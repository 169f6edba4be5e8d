package org.fuchsiawinch.ctl.command;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out takes the result
 * @param err takes problems and notes
 */
public record Console(PrintStream out, PrintStream err) {}

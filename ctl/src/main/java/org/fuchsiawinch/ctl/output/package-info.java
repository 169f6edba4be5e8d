/**
 * Tables and JSON for the terminal.
 */
package org.fuchsiawinch.ctl.output;

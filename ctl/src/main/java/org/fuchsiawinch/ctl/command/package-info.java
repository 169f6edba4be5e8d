/**
 * The commands, their arguments, settings and help.
 */
package org.fuchsiawinch.ctl.command;

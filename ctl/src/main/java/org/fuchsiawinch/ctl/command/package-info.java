/**
 * Commands with their arguments, settings and help texts.
 */
package org.fuchsiawinch.ctl.command;

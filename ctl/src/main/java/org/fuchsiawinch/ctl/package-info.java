/**
 * Command line of operators and finance: entry point and dispatch to the commands.
 */
package org.fuchsiawinch.ctl;

/**
 * Command line for operators and finance: entry point and command dispatch.
 */
package org.fuchsiawinch.ctl;

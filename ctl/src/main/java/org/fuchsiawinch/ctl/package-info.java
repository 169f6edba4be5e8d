/**
 * Command line of operators and finance.
 */
package org.fuchsiawinch.ctl;

/** Computation of the burn of error budgets and spending limits from records, without I/O. */
package org.fuchsiawinch.report.burn;

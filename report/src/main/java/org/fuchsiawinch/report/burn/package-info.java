/** Burn of service levels and spend, computed from records; pure. */
package org.fuchsiawinch.report.burn;

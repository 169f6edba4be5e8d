/** Measurements of the membership protocols on a virtual clock and a simulated network. */
package org.fuchsiawinch.explore.membership;

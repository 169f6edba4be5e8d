/** Measures membership protocols on a virtual clock with a small fake of the network. */
package org.fuchsiawinch.explore.membership;

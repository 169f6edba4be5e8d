/**
 * Output as text tables or JSON.
 */
package org.fuchsiawinch.ctl.output;

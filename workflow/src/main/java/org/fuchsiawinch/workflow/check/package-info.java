/** Checks of the operators' rules before they are sent. */
package org.fuchsiawinch.workflow.check;

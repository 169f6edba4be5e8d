/** Data centres to whose workers the operators let nothing more be sent. */
package org.fuchsiawinch.workflow.drain;

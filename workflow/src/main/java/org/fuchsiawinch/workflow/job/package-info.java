/** Jobs, steps and tasks, and the phases of their execution. */
package org.fuchsiawinch.workflow.job;

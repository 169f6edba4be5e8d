/** Jobs, steps and tasks, and how far each of them has come. */
package org.fuchsiawinch.workflow.job;

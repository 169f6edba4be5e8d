/** Distributions of run times that are learned from runs that have ended. */
package org.fuchsiawinch.workflow.forecast;

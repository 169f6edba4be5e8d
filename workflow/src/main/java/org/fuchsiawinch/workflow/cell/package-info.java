/** What every node knows of a cell: its rules, the phase of each job, and who owns it. */
package org.fuchsiawinch.workflow.cell;

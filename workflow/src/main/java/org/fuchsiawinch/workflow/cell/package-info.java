/** State that every node keeps of a cell: the rules in force, the phase of each job and the election of the owner. */
package org.fuchsiawinch.workflow.cell;

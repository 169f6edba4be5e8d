/** The owner of a cell: assigns tasks to workers, renews the workers' leases and processes the outcome of each run. */
package org.fuchsiawinch.workflow.owner;

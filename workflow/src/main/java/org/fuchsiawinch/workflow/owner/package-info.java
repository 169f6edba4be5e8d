/** The owner of a cell: assigns tasks to workers, renews leases, and settles what each run came to. */
package org.fuchsiawinch.workflow.owner;

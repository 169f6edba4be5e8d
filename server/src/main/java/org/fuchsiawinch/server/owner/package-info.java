/** Ownership of a cell: runs the scheduler and executes its effects. */
package org.fuchsiawinch.server.owner;

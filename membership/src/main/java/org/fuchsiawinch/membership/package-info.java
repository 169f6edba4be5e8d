/**
 * Group membership of the nodes, used for routing, for assigning workers to nodes and for requests between peers. It
 * never grants authority: only the log decides which node owns a cell. No type uses sockets, clocks or threads; random
 * seeds and the present time are arguments.
 */
package org.fuchsiawinch.membership;

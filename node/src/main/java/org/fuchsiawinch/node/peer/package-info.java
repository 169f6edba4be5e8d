/**
 * The link between nodes: membership, status and the document while the log is down.
 */
package org.fuchsiawinch.node.peer;

/**
 * Communication between nodes: membership, status, and the document while the log is unavailable.
 */
package org.fuchsiawinch.node.peer;

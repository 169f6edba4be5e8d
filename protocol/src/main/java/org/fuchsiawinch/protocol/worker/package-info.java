/**
 * Commands of nodes to workers, and the workers' replies.
 */
package org.fuchsiawinch.protocol.worker;

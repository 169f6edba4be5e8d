/**
 * Features of the protocol between nodes, log and workers.
 */
package org.fuchsiawinch.protocol;

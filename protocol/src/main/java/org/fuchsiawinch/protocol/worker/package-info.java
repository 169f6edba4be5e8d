/**
 * Messages between nodes and workers.
 */
package org.fuchsiawinch.protocol.worker;

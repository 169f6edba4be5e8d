/** Ports through which the node accesses the platform: stream store, workers and decoding of entries. */
package org.fuchsiawinch.server.port;

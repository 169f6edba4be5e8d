/**
 * Codecs of log records and peer messages (MessagePack) and of HTTP bodies (JSON).
 */
package org.fuchsiawinch.wire;

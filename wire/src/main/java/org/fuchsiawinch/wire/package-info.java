/**
 * MessagePack codecs of records and peer frames.
 */
package org.fuchsiawinch.wire;

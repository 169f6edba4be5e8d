/**
 * Records of the platform's log.
 */
package org.fuchsiawinch.protocol.record;

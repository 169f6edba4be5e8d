/**
 * Records of the shared log and of the snapshots stored in it.
 */
package org.fuchsiawinch.protocol.record;

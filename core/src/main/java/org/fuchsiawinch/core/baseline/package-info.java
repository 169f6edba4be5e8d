/**
 * Simple schedulers that the real one is measured against.
 */
package org.fuchsiawinch.core.baseline;

/**
 * Command line, settings, logs and metrics of every binary.
 */
package org.fuchsiawinch.runtime;

/**
 * The node process: settings, wiring and main.
 */
package org.fuchsiawinch.node;

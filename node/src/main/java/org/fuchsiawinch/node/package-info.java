/**
 * The node process: settings, creation of its components, and main class.
 */
package org.fuchsiawinch.node;

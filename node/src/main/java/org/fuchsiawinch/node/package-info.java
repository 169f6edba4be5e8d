/**
 * The node process.
 */
package org.fuchsiawinch.node;

/**
 * Port to a node's operator interface and its HTTP adapter.
 */
package org.fuchsiawinch.ctl.api;

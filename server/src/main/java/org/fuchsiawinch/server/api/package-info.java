/** Handling of callers' requests. */
package org.fuchsiawinch.server.api;

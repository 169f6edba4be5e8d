/** Follows streams of the platform's store. */
package org.fuchsiawinch.server.stream;

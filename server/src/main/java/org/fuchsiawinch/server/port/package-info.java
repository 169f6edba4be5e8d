/** What the node asks of the platform. */
package org.fuchsiawinch.server.port;

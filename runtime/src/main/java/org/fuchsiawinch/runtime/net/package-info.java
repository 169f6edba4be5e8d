/** Connections of the servers of a process. */
package org.fuchsiawinch.runtime.net;

/** Reading from and appending to streams of the platform's store. */
package org.fuchsiawinch.server.stream;

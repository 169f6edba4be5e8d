/** Stand-in for the users' platform: its keyed log and its workers, served over HTTP on the loopback interface. */
package org.fuchsiawinch.standin.userplatform;

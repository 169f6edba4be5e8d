/** Stands in for the users' platform: its keyed log and its workers, over HTTP on loopback. */
package org.fuchsiawinch.standin.userplatform;

/** Containment of unexpected failures: each ends the action in which it occurs, not the timer or follower behind it. */
package org.fuchsiawinch.server.failure;

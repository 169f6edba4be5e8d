/** The node on a platform that has a keyed stream store, seen through ports. */
package org.fuchsiawinch.server;

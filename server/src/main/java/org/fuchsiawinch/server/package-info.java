/** The scheduler node for platforms with a keyed stream store; the platform is accessed only through ports. */
package org.fuchsiawinch.server;

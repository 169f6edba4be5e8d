/** Answers callers. */
package org.fuchsiawinch.server.api;

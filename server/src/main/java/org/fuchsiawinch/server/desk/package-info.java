/** Answers callers. */
package org.fuchsiawinch.server.desk;

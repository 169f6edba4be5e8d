/**
 * In-memory store of the stand-in's append-only log.
 */
package org.fuchsiawinch.standin.log;

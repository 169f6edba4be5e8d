/**
 * A stand-in append-only log.
 */
package org.fuchsiawinch.standin.log;

/**
 * A stand-in worker.
 */
package org.fuchsiawinch.standin.worker;

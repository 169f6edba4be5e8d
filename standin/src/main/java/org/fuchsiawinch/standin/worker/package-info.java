/**
 * Stand-in worker: state machine, planning and counting of runs.
 */
package org.fuchsiawinch.standin.worker;

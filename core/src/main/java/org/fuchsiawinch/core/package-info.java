/**
 * Scheduler of gangs: events in, decisions out. Has no I/O and no clock; the present time is an argument.
 */
package org.fuchsiawinch.core;

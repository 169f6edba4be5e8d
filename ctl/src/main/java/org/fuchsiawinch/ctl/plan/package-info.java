/**
 * Effect of a proposed document, by replaying a trace under it and under the one in force.
 */
package org.fuchsiawinch.ctl.plan;

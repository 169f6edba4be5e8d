/**
 * Effect of a proposed document, estimated by replaying a trace under it and under the document in force.
 */
package org.fuchsiawinch.ctl.plan;

/**
 * Explorer: runs the node state machine under seeded fault schedules on a virtual clock and checks the promises of the
 * scheduler against the observed history.
 */
package org.fuchsiawinch.explore;

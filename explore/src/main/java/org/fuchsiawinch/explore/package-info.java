/**
 * Seeded fault schedules over the node state machine.
 */
package org.fuchsiawinch.explore;

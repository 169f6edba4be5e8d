package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.core.SchedulerEvent;

/** Handler that passes events to the scheduler. */
@FunctionalInterface
interface SchedulerEventHandler {

    /**
     * Passes an event to the scheduler and carries out its decisions.
     *
     * @param event the event
     * @param nowMs current Unix time in ms
     */
    void handle(SchedulerEvent event, long nowMs);
}

package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.core.SchedulerEvent;

/** Passes events to the scheduler. */
@FunctionalInterface
interface EventSink {

    /**
     * Passes an event to the scheduler and carries out its decisions.
     *
     * @param event the event
     * @param nowMs current Unix time in ms
     */
    void decide(SchedulerEvent event, long nowMs);
}

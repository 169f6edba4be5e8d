package org.fuchsiawinch.protocol.node.internal;

import org.fuchsiawinch.core.SchedulerEvent;

/** Takes events for the scheduler. */
@FunctionalInterface
interface EventSink {

    /**
     * Takes one event and carries out the decisions that follow.
     *
     * @param event the event
     * @param nowMs present time in ms since the epoch
     */
    void decide(SchedulerEvent event, long nowMs);
}

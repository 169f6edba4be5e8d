package org.fuchsiawinch.core;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.core.internal.Engine;
import org.fuchsiawinch.model.JobId;

/**
 * Scheduler of gangs under workspace guarantees, quotas and spending limits.
 *
 * <p>The policy arrives as a {@link SchedulerEvent.PolicyChanged} event. Jobs submitted before the first one are
 * refused because their workspace is unknown. Each unused guaranteed shape is assigned to concrete workers whose
 * capacity is free or used only by work that can be stopped and run again. Not thread-safe; confined to one thread.
 */
public final class GuaranteeScheduler implements Scheduler {

    private final Engine engine;

    /**
     * Creates a scheduler with all mechanisms enabled.
     */
    public GuaranteeScheduler() {
        this(SchedulerFeatures.defaults());
    }

    /**
     * Creates a scheduler with the given mechanisms.
     *
     * @param features the mechanisms to enable
     */
    public GuaranteeScheduler(SchedulerFeatures features) {
        this.engine = new Engine(features);
    }

    @Override
    public List<Decision> decide(SchedulerEvent event, long nowMs) {
        return engine.decide(event, nowMs);
    }

    @Override
    public Optional<Reason> waitReason(JobId job, long nowMs) {
        return engine.waitReason(job, nowMs);
    }
}

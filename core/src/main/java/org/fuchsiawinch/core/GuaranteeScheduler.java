package org.fuchsiawinch.core;

import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.core.internal.Engine;
import org.fuchsiawinch.model.JobId;

/**
 * Schedules gangs under workspace guarantees, quotas and spending limits.
 *
 * <p>The policy arrives as a {@link SchedulerEvent.PolicyChanged} event; a job submitted before it is refused as of an
 * unknown workspace. Each unused guaranteed shape keeps concrete workers whose capacity is free or held by work that
 * may be stopped and run again. Not thread-safe: one thread owns a scheduler for its whole life.
 */
public final class GuaranteeScheduler implements Scheduler {

    private final Engine engine;

    /**
     * Creates a scheduler with all features.
     */
    public GuaranteeScheduler() {
        this(SchedulerFeatures.defaults());
    }

    /**
     * Creates a scheduler.
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

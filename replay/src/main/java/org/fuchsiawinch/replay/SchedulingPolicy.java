package org.fuchsiawinch.replay;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.fuchsiawinch.core.GuaranteeScheduler;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.core.baseline.BackfillScheduler;
import org.fuchsiawinch.core.baseline.FirstFitScheduler;

/** Scheduling policies that a replay can run. */
public enum SchedulingPolicy {
    /** Workspace guarantees with lending, reclaim, reservations and corrected estimates. */
    GUARANTEE("guarantee", false, GuaranteeScheduler::new),
    /** Starts jobs strictly in order of arrival. */
    FIRST_COME_FIRST_SERVED("first-come-first-served", true, () -> new FirstFitScheduler(true)),
    /** Starts jobs in order of arrival and skips those that do not fit. */
    FIRST_FIT("first-fit", true, () -> new FirstFitScheduler(false)),
    /** EASY backfill on declared run times, without guarantees. */
    BACKFILL("backfill", true, BackfillScheduler::new);

    private final String label;
    private final boolean baseline;
    private final Supplier<Scheduler> factory;

    SchedulingPolicy(String label, boolean baseline, Supplier<Scheduler> factory) {
        this.label = label;
        this.baseline = baseline;
        this.factory = factory;
    }

    /**
     * Returns the policy with the given label.
     *
     * @param label its name on the command line
     * @return the policy, or empty if there is none
     */
    public static Optional<SchedulingPolicy> byLabel(String label) {
        return Arrays.stream(values())
                .filter(policy -> policy.label.equals(label))
                .findFirst();
    }

    /**
     * Returns the policies that the guarantee policy is compared with.
     *
     * @return the baselines
     */
    public static List<SchedulingPolicy> baselines() {
        return Arrays.stream(values()).filter(policy -> policy.baseline).toList();
    }

    /**
     * Returns the name on the command line.
     *
     * @return lower-case name
     */
    public String label() {
        return label;
    }

    /**
     * Creates a scheduler without state from earlier replays.
     *
     * @return the scheduler
     */
    public Scheduler newScheduler() {
        return factory.get();
    }
}

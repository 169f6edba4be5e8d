package org.fuchsiawinch.core;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/** Immutable set of enabled mechanisms; all are enabled by default. Thread-safe. */
public final class SchedulerFeatures {

    private static final SchedulerFeatures DEFAULTS = new SchedulerFeatures(EnumSet.allOf(SchedulerFeature.class));

    private final Set<SchedulerFeature> enabled;

    private SchedulerFeatures(Set<SchedulerFeature> enabled) {
        this.enabled = Collections.unmodifiableSet(enabled);
    }

    /**
     * Returns the set with every mechanism enabled.
     *
     * @return the defaults
     */
    public static SchedulerFeatures defaults() {
        return DEFAULTS;
    }

    /**
     * Returns a copy of this set without one mechanism.
     *
     * @param feature the mechanism to disable
     * @return the smaller set
     */
    public SchedulerFeatures without(SchedulerFeature feature) {
        EnumSet<SchedulerFeature> copy = EnumSet.noneOf(SchedulerFeature.class);
        copy.addAll(enabled);
        copy.remove(feature);
        return new SchedulerFeatures(copy);
    }

    /**
     * Returns whether a mechanism is enabled.
     *
     * @param feature the mechanism
     * @return true if the mechanism is enabled
     */
    public boolean has(SchedulerFeature feature) {
        return enabled.contains(feature);
    }
}

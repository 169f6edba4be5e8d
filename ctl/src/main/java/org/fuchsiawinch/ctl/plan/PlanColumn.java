package org.fuchsiawinch.ctl.plan;

import org.fuchsiawinch.replay.measure.Measures;

/**
 * Column of the plan table: results of the replay under one variant.
 *
 * @param name name of the variant
 * @param measures measures of the replay
 */
public record PlanColumn(String name, Measures measures) {}

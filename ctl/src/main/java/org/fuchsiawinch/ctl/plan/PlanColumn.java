package org.fuchsiawinch.ctl.plan;

import org.fuchsiawinch.replay.measure.Measures;

/**
 * Figures of one variant.
 *
 * @param name name of the variant
 * @param measures its figures
 */
public record PlanColumn(String name, Measures measures) {}

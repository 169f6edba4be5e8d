package org.fuchsiawinch.report.render;

import org.fuchsiawinch.report.burn.BurnReport;

/** Port of a renderer; pure. */
@FunctionalInterface
public interface ReportRenderer {

    /**
     * Renders a report.
     *
     * @param report the report
     * @return the whole output, with a line end at its end
     */
    String render(BurnReport report);
}

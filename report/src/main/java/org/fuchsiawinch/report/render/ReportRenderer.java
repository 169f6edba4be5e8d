package org.fuchsiawinch.report.render;

import org.fuchsiawinch.report.burn.BurnReport;

/** Renders a report in one format, without side effects. */
@FunctionalInterface
public interface ReportRenderer {

    /**
     * Renders a report.
     *
     * @param report the report
     * @return the complete output, with a trailing line break
     */
    String render(BurnReport report);
}

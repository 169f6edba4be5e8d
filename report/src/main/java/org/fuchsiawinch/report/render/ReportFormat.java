package org.fuchsiawinch.report.render;

/** Format of a report. */
public enum ReportFormat {
    /** Tables for a terminal. */
    TEXT(new TextRenderer()),
    /** One JSON object. */
    JSON(new JsonRenderer()),
    /** One self-contained HTML page. */
    HTML(new HtmlRenderer());

    private final ReportRenderer renderer;

    ReportFormat(ReportRenderer renderer) {
        this.renderer = renderer;
    }

    /** Returns the renderer of the format. */
    public ReportRenderer renderer() {
        return renderer;
    }
}

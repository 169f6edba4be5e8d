package org.fuchsiawinch.report.render;

/** Formats of a report. */
public enum ReportFormat {
    /** Tables for a terminal. */
    TEXT(new TextRenderer()),
    /** One JSON object. */
    JSON(new JsonRenderer()),
    /** One HTML page that needs no other file. */
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

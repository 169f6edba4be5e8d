/** Renderers of a burn report: text, JSON and one self-contained HTML page. */
package org.fuchsiawinch.report.render;

package org.fuchsiawinch.report.render;

import javax.imageio.ImageIO;

import java.awt.Color;
import java.awt.Font;
import java.awt.Graphics2D;
import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Date;
import java.util.List;
import java.util.TimeZone;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plot of values over time, drawn as a PNG image. Not thread-safe. */
final class Plot {

    private static final int WIDTH_PX = 620;
    private static final int HEIGHT_PX = 300;
    /** Pixels of the image for each pixel of the layout, in each direction. */
    private static final int RESOLUTION_SCALE = 2;

    private static final int MAX_POINTS = 400;
    private static final long MS_PER_DAY = 86_400_000;
    private static final float LINE_WIDTH_PX = 2f;
    private static final Color GRID_COLOUR = new Color(0xE3E5EA);
    private static final Color[] COLOURS = {new Color(0xB4237A), new Color(0x1F6FB2), new Color(0x2E7D4F)};
    private static final Font TEXT_FONT = new Font(Font.SANS_SERIF, Font.PLAIN, 12);
    private static final Font TITLE_FONT = new Font(Font.SANS_SERIF, Font.BOLD, 14);

    private final XYChart chart;
    private final List<Date> times = new ArrayList<>();
    private double maxValue = Double.MAX_VALUE;

    Plot(String title, String yTitle, String valuePattern) {
        chart = new XYChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title(title)
                .yAxisTitle(yTitle)
                .build();
        chart.getStyler()
                .setLegendPosition(Styler.LegendPosition.OutsideS)
                .setLegendLayout(Styler.LegendLayout.Horizontal)
                .setLegendBorderColor(Color.WHITE)
                .setLegendFont(TEXT_FONT)
                .setChartBackgroundColor(Color.WHITE)
                .setPlotBackgroundColor(Color.WHITE)
                .setPlotBorderVisible(false)
                .setChartTitleFont(TITLE_FONT)
                .setChartTitleBoxVisible(false);
        chart.getStyler()
                .setPlotGridLinesColor(GRID_COLOUR)
                .setAxisTitleFont(TEXT_FONT)
                .setAxisTickLabelsFont(TEXT_FONT)
                .setYAxisDecimalPattern(valuePattern)
                .setTimezone(TimeZone.getTimeZone("UTC"))
                .setSeriesColors(COLOURS);
        chart.getStyler().setYAxisMin(0.0);
    }

    /** Sets the upper end of the value axis; greater values are clipped to it. */
    Plot withMaxValue(double max) {
        maxValue = max;
        chart.getStyler().setYAxisMax(max);
        return this;
    }

    /**
     * Adds a line. If there are more than {@link #MAX_POINTS} points, groups them and draws the greatest value of each
     * group, so that short peaks stay visible. Does nothing without points.
     */
    <T> void addLine(String name, List<T> points, ToLongFunction<T> atMs, ToDoubleFunction<T> value) {
        if (points.isEmpty()) {
            return;
        }
        List<Date> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        int groupSize = (points.size() + MAX_POINTS - 1) / MAX_POINTS;
        for (int from = 0; from < points.size(); from += groupSize) {
            List<T> group = points.subList(from, Math.min(points.size(), from + groupSize));
            x.add(new Date(atMs.applyAsLong(group.get(0))));
            y.add(Math.min(maxValue, group.stream().mapToDouble(value).max().orElse(0)));
        }
        XYSeries series = chart.addSeries(name, x, y);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineWidth(LINE_WIDTH_PX);
        times.addAll(x);
    }

    boolean isEmpty() {
        return times.isEmpty();
    }

    /** Returns the image as a data URI. */
    String dataUri() {
        long firstMs = times.stream().mapToLong(Date::getTime).min().orElse(0);
        long lastMs = times.stream().mapToLong(Date::getTime).max().orElse(0);
        chart.getStyler().setDatePattern(lastMs - firstMs > MS_PER_DAY ? "dd MMM" : "HH:mm");
        return "data:image/png;base64," + Base64.getEncoder().encodeToString(png());
    }

    private byte[] png() {
        BufferedImage image = new BufferedImage(
                RESOLUTION_SCALE * WIDTH_PX, RESOLUTION_SCALE * HEIGHT_PX, BufferedImage.TYPE_INT_RGB);
        Graphics2D graphics = image.createGraphics();
        graphics.scale(RESOLUTION_SCALE, RESOLUTION_SCALE);
        chart.paint(graphics, WIDTH_PX, HEIGHT_PX);
        graphics.dispose();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            ImageIO.write(image, "png", bytes);
        } catch (IOException problem) {
            throw new UncheckedIOException(problem);
        }
        return bytes.toByteArray();
    }
}

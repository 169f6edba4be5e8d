package org.fuchsiawinch.workflow.forecast;

/**
 * Forecast of the ratio of a run time to the caller's estimate, on a worker of speed 1; all values but the number of
 * observations are natural logarithms.
 *
 * @param median median
 * @param tail ratio that five runs in a hundred exceed
 * @param observations effective number of runs on which the forecast rests, after fading
 */
public record RunTimeForecast(double median, double tail, double observations) {}

package org.fuchsiawinch.report.records;

/**
 * Sample of the state of the whole system.
 *
 * @param atMs time of the sample, in ms since the Unix epoch
 * @param fragmentation share of free accelerators that the largest guaranteed shape cannot use, 0 to 1
 * @param queueLength number of waiting jobs
 * @param spendMicros spend of all workspaces so far, in millionths of the currency unit
 */
public record SystemSample(long atMs, double fragmentation, long queueLength, long spendMicros) {}

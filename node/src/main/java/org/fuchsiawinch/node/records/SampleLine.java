package org.fuchsiawinch.node.records;

/**
 * Sample of the whole system as a line of the burn report's input.
 *
 * @param type always {@code sample}
 * @param atMs time of the sample in ms since the epoch
 * @param fragmentation share of free accelerators that the largest guaranteed shape cannot use
 * @param queueLength number of waiting jobs
 * @param spendMicros price of all finished jobs that the node still knows, in millionths of the currency unit
 */
record SampleLine(String type, long atMs, double fragmentation, long queueLength, long spendMicros) {}

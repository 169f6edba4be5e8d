package org.fuchsiawinch.replay.generate;

/**
 * Workers of one rack.
 *
 * @param dataCentre name of the data centre
 * @param rack name of the rack
 * @param workers number of workers
 * @param speed speed of its workers, before a small spread
 */
record RackPlan(String dataCentre, String rack, int workers, double speed) {}

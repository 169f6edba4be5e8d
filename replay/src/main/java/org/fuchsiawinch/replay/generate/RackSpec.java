package org.fuchsiawinch.replay.generate;

/**
 * Workers of one rack.
 *
 * @param dataCentre name of the data centre
 * @param rack name of the rack
 * @param workers number of workers
 * @param speed mean speed of its workers; each worker's speed differs by up to 10 %
 */
record RackSpec(String dataCentre, String rack, int workers, double speed) {}

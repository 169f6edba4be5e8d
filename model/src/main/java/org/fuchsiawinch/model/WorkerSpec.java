package org.fuchsiawinch.model;

/**
 * A worker as the platform describes it.
 *
 * @param id the worker
 * @param dataCentre name of its data centre
 * @param rack name of its rack, unique within the data centre
 * @param capacity resources of the worker
 * @param speed speed relative to the reference worker; 2.0 halves the run time
 */
public record WorkerSpec(WorkerId id, String dataCentre, String rack, Resources capacity, double speed) {}

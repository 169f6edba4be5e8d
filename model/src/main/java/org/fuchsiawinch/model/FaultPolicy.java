package org.fuchsiawinch.model;

/**
 * Rules that distinguish faulty workers from jobs that cannot run.
 *
 * @param poisonWorkers number of different workers on which a job fails before it is refused permanently
 * @param quarantineJobs number of different jobs that fail on a worker before it is quarantined
 * @param windowMs time in ms over which failures of a worker are counted
 * @param probeAfterMs time in ms from quarantine to the first probe; doubled after each failed probe
 */
public record FaultPolicy(int poisonWorkers, int quarantineJobs, long windowMs, long probeAfterMs) {}

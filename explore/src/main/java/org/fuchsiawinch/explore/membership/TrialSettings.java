package org.fuchsiawinch.explore.membership;

/**
 * Settings of one trial.
 *
 * @param kind the protocol
 * @param nodes number of nodes, at least 2
 * @param lossPercent percentage of messages lost, 0 to 99
 * @param seed random seed of the trial
 * @param steadyMs duration of the phase without faults other than message loss, in virtual ms
 * @param rounds number of crashes, and of pauses of each length
 */
public record TrialSettings(ProtocolKind kind, int nodes, int lossPercent, long seed, long steadyMs, int rounds) {}

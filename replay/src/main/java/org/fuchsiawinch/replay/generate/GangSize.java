package org.fuchsiawinch.replay.generate;

import org.fuchsiawinch.model.Adjacency;

/**
 * Gang size of a kind of job, with its share.
 *
 * @param weight share of the kind's jobs in percent
 * @param parts number of parts
 * @param accelerators accelerators of each part
 * @param adjacency required adjacency of the parts
 */
record GangSize(int weight, int parts, int accelerators, Adjacency adjacency) {}

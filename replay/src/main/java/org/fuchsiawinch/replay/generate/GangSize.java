package org.fuchsiawinch.replay.generate;

import org.fuchsiawinch.model.Adjacency;

/**
 * One size of gang among a kind of work.
 *
 * @param weight share of the kind in percent
 * @param parts number of parts
 * @param accelerators accelerators of each part
 * @param adjacency closeness of the parts
 */
record GangSize(int weight, int parts, int accelerators, Adjacency adjacency) {}

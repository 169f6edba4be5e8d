package org.fuchsiawinch.golden;

import java.util.List;

/**
 * What a run of a session gave.
 *
 * @param transcript the exchanges and the outcome, ended by a line feed
 * @param unmet the expectations that were not met, each with what was seen
 */
record SessionResult(String transcript, List<String> unmet) {}

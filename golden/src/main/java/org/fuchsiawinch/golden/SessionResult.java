package org.fuchsiawinch.golden;

import java.util.List;

/**
 * Result of a run of a session.
 *
 * @param transcript the exchanges and the checked expectations, terminated by a line feed
 * @param unmet the expectations that were not met, each with what was observed
 */
record SessionResult(String transcript, List<String> unmet) {}

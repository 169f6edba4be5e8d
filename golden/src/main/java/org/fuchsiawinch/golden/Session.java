package org.fuchsiawinch.golden;

import java.util.List;
import java.util.function.Consumer;

/**
 * A scripted session.
 *
 * @param name name of its file, without the ending
 * @param site the user's workers
 * @param script schedules the steps of callers, operators and faults
 * @param endMs length in ms
 * @param expectations what it must come to
 */
record Session(String name, Site site, Consumer<SessionRunner> script, long endMs, List<Expectation> expectations) {}

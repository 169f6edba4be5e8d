package org.fuchsiawinch.golden;

import java.util.List;
import java.util.function.Consumer;

/**
 * Scripted session on a virtual clock.
 *
 * @param name name of the session and of its file without the extension
 * @param site the user's workers and network delays
 * @param script schedules the requests of callers and operators and the faults
 * @param endMs length of the session in ms
 * @param expectations results that the session must have
 */
record Session(
        String name, SiteTopology site, Consumer<SessionRunner> script, long endMs, List<Expectation> expectations) {}

package org.fuchsiawinch.quickstart;

import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Urgency;

/**
 * A job of the sample load, as it is sent.
 *
 * @param workspace workspace whose token sends it
 * @param key names the job within its workspace
 * @param kind kind of work
 * @param parts parts of the gang
 * @param perPart resources of each part
 * @param adjacency closeness of the parts
 * @param declaredRunMs declared run time in ms
 * @param idempotent whether it may be run again
 * @param checkpointable whether it can be resumed
 * @param urgency order of start
 * @param deadlineMs time in ms since the epoch after which the answer is of no use
 * @param payload what the work is told
 */
record SampleJob(
        String workspace,
        String key,
        String kind,
        int parts,
        Resources perPart,
        Adjacency adjacency,
        long declaredRunMs,
        boolean idempotent,
        boolean checkpointable,
        Urgency urgency,
        OptionalLong deadlineMs,
        String payload) {

    /** Gives the answer that the stand-in workers make of the payload. */
    String expectedAnswer() {
        StringBuilder answer = new StringBuilder();
        for (int part = 0; part < parts; part++) {
            answer.append(key).append(" part ").append(part).append('\n');
        }
        return answer.toString();
    }

    /** Names the job within the whole system. */
    String id() {
        return workspace + "." + key;
    }
}

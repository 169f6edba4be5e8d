package org.fuchsiawinch.quickstart;

import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Urgency;

/**
 * Job of the sample load, encoded as the request body of a submission.
 *
 * @param workspace workspace whose token authenticates the request
 * @param key key of the job within its workspace
 * @param kind kind of work
 * @param parts number of parts of the gang
 * @param perPart resources of each part
 * @param adjacency required proximity of the parts
 * @param declaredRunMs declared run time in ms
 * @param idempotent whether the job may run more than once
 * @param checkpointable whether the job can resume from a checkpoint
 * @param urgency scheduling priority class
 * @param deadlineMs deadline in ms since the Unix epoch; empty for none
 * @param payload input of the work, as the stand-in workers parse it
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

    /** Returns the whole answer that the stand-in workers derive from the payload. */
    String expectedAnswer() {
        StringBuilder answer = new StringBuilder();
        for (int part = 0; part < parts; part++) {
            answer.append(key).append(" part ").append(part).append('\n');
        }
        return answer.toString();
    }

    /** Returns the id of the job, unique over all workspaces. */
    String id() {
        return workspace + "." + key;
    }
}

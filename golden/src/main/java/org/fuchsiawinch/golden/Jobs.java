package org.fuchsiawinch.golden;

import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkspaceId;

/** Creates the specifications of both users' jobs, with the resources per part of their documents' guarantees. */
final class Jobs {

    private static final int MIB_PER_GIB = 1024;

    private Jobs() {}

    /** Returns a bundle plan of the wholesale office: eight parts in one rack, one accelerator each. */
    static JobSpec plan(String key, long runMs) {
        return idempotentJob("plans", key, "bundle", shape(8, 3, 12, 1, 4, Adjacency.RACK), runMs, Urgency.NORMAL);
    }

    /** Returns a season plan of the wholesale office: 16 parts in one data centre, two accelerators each. */
    static JobSpec seasonPlan(String key, long runMs) {
        return idempotentJob(
                "plans", key, "season", shape(16, 6, 24, 2, 4, Adjacency.DATA_CENTRE), runMs, Urgency.NORMAL);
    }

    /** Returns a shop's reorder: one part, not idempotent. */
    static JobSpec reorder(String key, long runMs, OptionalLong deadlineMs) {
        Shape shape = shape(1, 2, 8, 1, 4, Adjacency.WORKER);
        return nonIdempotentJob("reorders", key, "price", shape, runMs, Urgency.URGENT, deadlineMs);
    }

    /** Returns a check of a carton batch against its certificate: parts of one accelerator on one worker. */
    static JobSpec certificate(String key, int parts, long runMs) {
        Shape shape = shape(parts, 3, 12, 1, 2, Adjacency.WORKER);
        return idempotentJob("certificates", key, "check", shape, runMs, Urgency.NORMAL);
    }

    /** Returns a forecast of background urgency, which runs on lent capacity and can be checkpointed. */
    static JobSpec forecast(String key, int parts, long runMs) {
        Shape shape = shape(parts, 3, 12, 1, 2, Adjacency.DATA_CENTRE);
        return idempotentJob("forecasts", key, "forecast", shape, runMs, Urgency.BACKGROUND);
    }

    /** Returns a scan match of the bureau: 16 parts in one rack, one accelerator each, not idempotent. */
    static JobSpec scan(String key, long runMs, OptionalLong deadlineMs) {
        return nonIdempotentJob(
                "scans", key, "match", shape(16, 3, 6, 1, 4, Adjacency.RACK), runMs, Urgency.NORMAL, deadlineMs);
    }

    /** Returns a colour check of the bureau on replacement glass: one urgent part. */
    static JobSpec colour(String key, long runMs) {
        return idempotentJob("colour", key, "check", shape(1, 2, 4, 1, 4, Adjacency.WORKER), runMs, Urgency.URGENT);
    }

    /** Returns a tracing of a lead came pattern for the bureau: four parts on one worker. */
    static JobSpec tracing(String key, long runMs) {
        return idempotentJob("tracing", key, "trace", shape(4, 3, 6, 1, 2, Adjacency.WORKER), runMs, Urgency.NORMAL);
    }

    /** Converts a time in ms since the session's start to a deadline in ms since the Unix epoch. */
    static OptionalLong deadline(long atMs) {
        return OptionalLong.of(SessionRunner.SESSION_START_MS + atMs);
    }

    /** Returns the payload for stand-in workers: the run time in ms and the answer of each part. */
    static String payload(long runMs, String answer) {
        return "run-ms=" + runMs + "\nanswer=" + answer + "\n";
    }

    private static JobSpec idempotentJob(
            String workspace, String key, String kind, Shape shape, long runMs, Urgency urgency) {
        WorkspaceId owner = new WorkspaceId(workspace);
        return new JobSpec(
                new JobId(workspace + "." + key), owner, kind, shape, runMs, true, true, urgency, OptionalLong.empty());
    }

    private static JobSpec nonIdempotentJob(
            String workspace,
            String key,
            String kind,
            Shape shape,
            long runMs,
            Urgency urgency,
            OptionalLong deadlineMs) {
        WorkspaceId owner = new WorkspaceId(workspace);
        return new JobSpec(
                new JobId(workspace + "." + key), owner, kind, shape, runMs, false, false, urgency, deadlineMs);
    }

    private static Shape shape(
            int parts, int cores, int memoryGib, int accelerators, int connections, Adjacency adjacency) {
        Resources perPart = new Resources(cores * 1000, memoryGib * MIB_PER_GIB, accelerators, 1, connections);
        return new Shape(parts, perPart, adjacency);
    }
}

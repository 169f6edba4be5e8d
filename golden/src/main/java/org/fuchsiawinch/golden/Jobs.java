package org.fuchsiawinch.golden;

import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkspaceId;

/** Kinds of jobs of both users, in the shapes of their documents' guarantees. */
final class Jobs {

    private static final int MIB_PER_GIB = 1024;

    private Jobs() {}

    /** A bundle plan of the wholesale office: eight adjacent accelerators. */
    static JobSpec plan(String key, long runMs) {
        return repeatable("plans", key, "bundle", shape(8, 3, 12, 1, 4, Adjacency.RACK), runMs, Urgency.NORMAL);
    }

    /** A plan over the whole season: sixteen pairs of accelerators in one data centre. */
    static JobSpec seasonPlan(String key, long runMs) {
        return repeatable("plans", key, "season", shape(16, 6, 24, 2, 4, Adjacency.DATA_CENTRE), runMs, Urgency.NORMAL);
    }

    /** A shop's reorder, which must not run twice. */
    static JobSpec reorder(String key, long runMs, OptionalLong deadlineMs) {
        Shape shape = shape(1, 2, 8, 1, 4, Adjacency.WORKER);
        return once("reorders", key, "price", shape, runMs, Urgency.URGENT, deadlineMs);
    }

    /** A check of a carton batch against its certificate. */
    static JobSpec certificate(String key, int parts, long runMs) {
        Shape shape = shape(parts, 3, 12, 1, 2, Adjacency.WORKER);
        return repeatable("certificates", key, "check", shape, runMs, Urgency.NORMAL);
    }

    /** A background forecast on lent capacity, which can be checkpointed. */
    static JobSpec forecast(String key, int parts, long runMs) {
        Shape shape = shape(parts, 3, 12, 1, 2, Adjacency.DATA_CENTRE);
        return repeatable("forecasts", key, "forecast", shape, runMs, Urgency.BACKGROUND);
    }

    /** The bureau's scan match: sixteen adjacent accelerators, which must not run twice. */
    static JobSpec scan(String key, long runMs, OptionalLong deadlineMs) {
        return once("scans", key, "match", shape(16, 3, 6, 1, 4, Adjacency.RACK), runMs, Urgency.NORMAL, deadlineMs);
    }

    /** The bureau's colour check on replacement glass. */
    static JobSpec colour(String key, long runMs) {
        return repeatable("colour", key, "check", shape(1, 2, 4, 1, 4, Adjacency.WORKER), runMs, Urgency.URGENT);
    }

    /** The bureau's tracing of a lead came pattern. */
    static JobSpec tracing(String key, long runMs) {
        return repeatable("tracing", key, "trace", shape(4, 3, 6, 1, 2, Adjacency.WORKER), runMs, Urgency.NORMAL);
    }

    /** Gives a deadline at a time in ms since the session's start. */
    static OptionalLong deadline(long atMs) {
        return OptionalLong.of(SessionRunner.EPOCH_MS + atMs);
    }

    /** Gives what a stand-in worker is told: its run time in ms and each part's answer. */
    static String payload(long runMs, String answer) {
        return "run-ms=" + runMs + "\nanswer=" + answer + "\n";
    }

    private static JobSpec repeatable(
            String workspace, String key, String kind, Shape shape, long runMs, Urgency urgency) {
        WorkspaceId owner = new WorkspaceId(workspace);
        return new JobSpec(
                new JobId(workspace + "." + key), owner, kind, shape, runMs, true, true, urgency, OptionalLong.empty());
    }

    private static JobSpec once(
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

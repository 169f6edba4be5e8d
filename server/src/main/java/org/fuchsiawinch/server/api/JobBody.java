package org.fuchsiawinch.server.api;

import java.util.List;

import org.fuchsiawinch.workflow.job.StepSpec;

/** Decoded body of a job submission. */
public sealed interface JobBody {

    /**
     * A valid job.
     *
     * @param payload text passed to each task at its start; may be empty
     * @param steps steps of the job, at least one, each after those that it depends on
     */
    record Job(String payload, List<StepSpec> steps) implements JobBody {}

    /**
     * The body is not a valid job.
     *
     * @param problem location and description of the error
     */
    record Malformed(String problem) implements JobBody {}

    /**
     * The job requests a feature that this version does not support.
     *
     * @param feature name of the requested feature
     */
    record Unsupported(String feature) implements JobBody {}
}

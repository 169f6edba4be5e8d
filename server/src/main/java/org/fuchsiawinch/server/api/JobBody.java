package org.fuchsiawinch.server.api;

import java.util.List;

import org.fuchsiawinch.workflow.job.StepSpec;

/** What the body of a submission says. */
public sealed interface JobBody {

    /**
     * A job.
     *
     * @param payload text that each task is started with
     * @param steps the steps
     */
    record Job(String payload, List<StepSpec> steps) implements JobBody {}

    /**
     * The body is no job.
     *
     * @param problem what is wrong, and where
     */
    record Malformed(String problem) implements JobBody {}

    /**
     * The job asks for something that this version does not do.
     *
     * @param feature what it asks for
     */
    record Unsupported(String feature) implements JobBody {}
}

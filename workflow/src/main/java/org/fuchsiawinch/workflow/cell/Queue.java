package org.fuchsiawinch.workflow.cell;

import org.fuchsiawinch.workflow.job.Submission;

/**
 * A queue that callers submit jobs to.
 *
 * @param name its name
 * @param host host name of its requests
 * @param pathPrefix start of the path of its requests
 * @param service service whose workers run its tasks
 * @param rules how its jobs are scheduled
 * @param open whether a call needs no key
 */
public record Queue(
        String name, String host, String pathPrefix, String service, Submission.QueueRules rules, boolean open) {}

package org.fuchsiawinch.workflow.cell;

import org.fuchsiawinch.workflow.job.Submission;

/**
 * A queue that callers submit jobs to.
 *
 * @param name name of the queue
 * @param host host name in requests to the queue
 * @param pathPrefix path prefix of requests to the queue
 * @param service service whose workers run the queue's tasks
 * @param rules scheduling rules of the queue's jobs
 * @param open whether requests need no key
 */
public record Queue(
        String name, String host, String pathPrefix, String service, Submission.QueueRules rules, boolean open) {}

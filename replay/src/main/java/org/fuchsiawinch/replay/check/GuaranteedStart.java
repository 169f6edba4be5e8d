package org.fuchsiawinch.replay.check;

import org.fuchsiawinch.model.JobId;

/**
 * Start of a job that its workspace's unused guarantee covered when it was submitted.
 *
 * @param job the job
 * @param delayMs time in ms from submit to start
 * @param boundMs reclaim bound in ms in force when the job was submitted
 * @param excused whether lost capacity, a log outage, a quota or a spending limit accounts for a delay beyond the bound
 */
public record GuaranteedStart(JobId job, long delayMs, long boundMs, boolean excused) {}

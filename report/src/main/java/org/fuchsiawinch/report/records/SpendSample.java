package org.fuchsiawinch.report.records;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * Sample of a workspace's spend, including running jobs.
 *
 * @param atMs time of the sample, in ms since the Unix epoch
 * @param workspace the workspace
 * @param periodSpendMicros spend in the workspace's current period, in millionths of the currency unit
 */
public record SpendSample(long atMs, WorkspaceId workspace, long periodSpendMicros) {}

package org.fuchsiawinch.report.records;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * One sample of a workspace's spend, running jobs included.
 *
 * @param atMs when it was taken, in ms since the epoch
 * @param workspace the workspace
 * @param periodSpendMicros spend in the workspace's present period, in millionths of the currency unit
 */
public record SpendSample(long atMs, WorkspaceId workspace, long periodSpendMicros) {}

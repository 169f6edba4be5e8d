package org.fuchsiawinch.document;

import java.util.OptionalLong;

import org.fuchsiawinch.model.WorkspaceId;

/**
 * A service level of one workspace.
 *
 * @param workspace the workspace
 * @param kind what is measured
 * @param targetShare target share of good events, between 0 and 1
 * @param thresholdMs maximum time in ms of a good event; empty for kinds that measure no time
 * @param windowMs length in ms of the window over which the share is computed
 */
public record ServiceLevel(
        WorkspaceId workspace, ServiceLevelKind kind, double targetShare, OptionalLong thresholdMs, long windowMs) {}

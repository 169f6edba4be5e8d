package org.fuchsiawinch.explore;

import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.node.NodeSettings;

/** Time bounds of the promises in ms, derived from the nodes' settings. */
final class Bounds {

    private static final NodeSettings SETTINGS = NodeSettings.defaults(new NodeId("any"), 0);
    private static final int NODES = 5;

    /** Longest time that the VM list lags. */
    static final long LIST_LAG_MS = 5000;

    /** Longest time from a part's end until the owner knows, an owner's death in between included. */
    private static final long DETECT_MS = SETTINGS.ownerTimeoutMs()
            + (NODES + 1) * SETTINGS.heartbeatIntervalMs()
            + SETTINGS.inventoryTimeoutMs()
            + SETTINGS.leaseMs()
            + SETTINGS.renewIntervalMs()
            + SETTINGS.clockDriftMs();

    /** Longest time that a part of a gang runs on after another part was lost: detection, then a lease. */
    static final long GANG_PARTIAL_MS = DETECT_MS + SETTINGS.leaseMs() + 2 * SETTINGS.clockDriftMs();

    /** Longest time after which a leaving worker is given no part. */
    static final long LEAVING_MS =
            LIST_LAG_MS + SETTINGS.renewIntervalMs() + SETTINGS.startTimeoutMs() + SETTINGS.clockDriftMs();

    /** Longest time from an accepted change until it is in force on a node that can read the log. */
    static final long DOCUMENT_MS = 3000;

    private Bounds() {}
}

package org.fuchsiawinch.explore;

import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.node.NodeSettings;

/** Time bounds of the promises, in ms, derived from the settings of the nodes. */
final class PromiseBounds {

    private static final NodeSettings SETTINGS = NodeSettings.defaults(new NodeId("any"), 0);
    /** Largest number of nodes in a generated schedule. */
    private static final int MAX_NODES = 5;

    /** Upper bound of the lag of the VM list. */
    static final long MAX_LIST_LAG_MS = 5000;

    /** Maximum time from the end of a part until the owner detects it, including a takeover of the cell in between. */
    private static final long DETECTION_MS = SETTINGS.ownerTimeoutMs()
            + (MAX_NODES + 1) * SETTINGS.heartbeatIntervalMs()
            + SETTINGS.inventoryTimeoutMs()
            + SETTINGS.leaseMs()
            + SETTINGS.renewIntervalMs()
            + SETTINGS.clockDriftMs();

    /** Maximum time for which a part of a gang keeps running after another part was lost: detection, then a lease. */
    static final long GANG_PARTIAL_MS = DETECTION_MS + SETTINGS.leaseMs() + 2 * SETTINGS.clockDriftMs();

    /** Time from the start of a worker's leave after which it must not receive a part. */
    static final long LEAVING_MS =
            MAX_LIST_LAG_MS + SETTINGS.renewIntervalMs() + SETTINGS.startTimeoutMs() + SETTINGS.clockDriftMs();

    /** Maximum time from the acceptance of a change until it is in force on every node that can read the log. */
    static final long DOCUMENT_MS = 3000;

    private PromiseBounds() {}
}

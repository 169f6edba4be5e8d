package org.fuchsiawinch.node.http;

import java.util.concurrent.atomic.AtomicBoolean;

import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.wire.PeerMessage;

/** Status of a node; starts its drain. Thread-safe. */
public final class NodeStatus {

    private final String name;
    private final String dataCentre;
    private final Runnable drain;
    private final AtomicBoolean draining = new AtomicBoolean();

    /**
     * Creates the status of a node that accepts requests.
     *
     * @param name name of the node
     * @param dataCentre its data centre
     * @param drain starts the drain; called at most once
     */
    public NodeStatus(String name, String dataCentre, Runnable drain) {
        this.name = name;
        this.dataCentre = dataCentre;
        this.drain = drain;
    }

    /** Starts the drain unless it was already started. */
    public void requestDrain() {
        if (draining.compareAndSet(false, true)) {
            drain.run();
        }
    }

    /**
     * Returns whether the node is draining.
     *
     * @return true after a drain was requested
     */
    public boolean draining() {
        return draining.get();
    }

    NodeView view(NodeMachine machine) {
        return new NodeView(
                name,
                dataCentre,
                draining.get(),
                machine.schedules(),
                machine.fold().nextOffset(),
                machine.fold()
                        .document()
                        .inForce()
                        .map(DocumentFold.VersionInForce::version)
                        .orElse(0));
    }

    /**
     * Status of a node in the API.
     *
     * @param node its name
     * @param dataCentre its data centre
     * @param draining whether it is draining
     * @param schedules whether it schedules its cell
     * @param nextOffset offset of the next log record that it reads
     * @param documentVersion version of the document in force on it
     */
    record NodeView(
            String node, String dataCentre, boolean draining, boolean schedules, long nextOffset, int documentVersion) {

        static NodeView of(PeerMessage.NodeStatusMessage status) {
            return new NodeView(
                    status.node().value(),
                    status.dataCentre(),
                    status.draining(),
                    status.schedules(),
                    status.nextOffset(),
                    status.documentVersion());
        }
    }
}

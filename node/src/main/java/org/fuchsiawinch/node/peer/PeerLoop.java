package org.fuchsiawinch.node.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.membership.MembershipInput;
import org.fuchsiawinch.membership.MembershipOutput;
import org.fuchsiawinch.membership.MembershipProtocol;
import org.fuchsiawinch.membership.MembershipView;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.node.loop.NodeLoop;
import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.runtime.EventLog;
import org.fuchsiawinch.wire.PeerCodec;
import org.fuchsiawinch.wire.PeerMessage;

/**
 * Single thread that owns the membership protocol, behind a bounded inbox. Also exchanges node statuses, and documents
 * while the log cannot be read. It makes no authoritative decisions: these come from the log alone. Runs from
 * {@link #start} until the process ends; {@link #leave} and {@link #statuses} are thread-safe.
 */
public final class PeerLoop {

    private static final EventLog LOG = new EventLog(PeerLoop.class);
    /** Capacity of the inbox in messages; further ones are dropped, as if the network had lost them. */
    private static final int INBOX_CAPACITY = 4096;

    private static final long TICK_INTERVAL_MS = 100;
    private static final long STATUS_INTERVAL_MS = 2000;
    /** Interval at which the membership protocol is given the seeds again. */
    private static final long SEED_INTERVAL_MS = 5000;
    /** Maximum number of nodes to which the status is sent in each interval. */
    private static final int STATUS_FANOUT = 8;

    private final Member self;
    private final List<Endpoint> seeds;
    private final MembershipProtocol protocol;
    private final NodeLoop nodeLoop;
    private final LongSupplier clock;
    private final PeerTransport transport;
    private final BlockingQueue<PeerMessage> inbox = new ArrayBlockingQueue<>(INBOX_CAPACITY);
    private final MembershipView view = new MembershipView();
    private final Map<NodeId, PeerMessage.NodeStatusMessage> statuses = new TreeMap<>();
    private final AtomicReference<List<PeerMessage.NodeStatusMessage>> publishedStatuses =
            new AtomicReference<>(List.of());
    private final AtomicReference<LocalState> localState = new AtomicReference<>(LocalState.UNKNOWN);
    private volatile boolean leaving;
    private boolean leaveStarted;
    private long lastStatusMs;
    private long lastSeedMs;
    private int nextRecipient;

    /**
     * Creates a loop that is not started.
     *
     * @param self this node
     * @param seeds peer ports of the nodes that the settings name
     * @param secret secret shared by all nodes
     * @param protocol the membership protocol
     * @param nodeLoop the node's main loop
     * @param clock source of the present Unix time in ms
     * @param metrics registry of the metrics of sent, received and refused frames
     */
    public PeerLoop(
            Member self,
            List<Endpoint> seeds,
            String secret,
            MembershipProtocol protocol,
            NodeLoop nodeLoop,
            LongSupplier clock,
            MetricRegistry metrics) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.protocol = protocol;
        this.nodeLoop = nodeLoop;
        this.clock = clock;
        this.transport = new PeerTransport(new PeerCodec(secret), inbox::offer, metrics);
    }

    /**
     * Starts listening; frames that arrive before {@link #start} wait in the inbox. Throws an exception of the network
     * library if the port is in use.
     */
    public void listen() {
        transport.listen(self.endpoint().host(), self.endpoint().port());
    }

    /** Starts the thread. */
    public void start() {
        Thread thread = new Thread(this::run, "peer-loop");
        thread.setDaemon(true);
        thread.start();
    }

    /** Announces to the other nodes, within one tick, that this node is stopping. Returns at once. */
    public void leave() {
        leaving = true;
    }

    /**
     * Returns the last status of each live node, including this one.
     *
     * @return the statuses in the order of the node ids; empty before the first status of this node was read
     */
    public List<PeerMessage.NodeStatusMessage> statuses() {
        return publishedStatuses.get();
    }

    private void run() {
        long lastTickMs = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                PeerMessage message = inbox.poll(TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
                if (message != null) {
                    receive(message);
                }
                long nowMs = clock.getAsLong();
                if (nowMs - lastTickMs >= TICK_INTERVAL_MS) {
                    lastTickMs = nowMs;
                    tick(nowMs);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.warn("peer_failed", "node", self.id(), "error", e);
            }
        }
    }

    private void receive(PeerMessage message) {
        if (message instanceof PeerMessage.Membership membership) {
            handleMembership(new MembershipInput.Received(membership.message()));
        } else if (message instanceof PeerMessage.Status status) {
            statuses.put(status.status().node(), status.status());
        } else if (message instanceof PeerMessage.DocumentAsked asked) {
            sendDocument(asked);
        } else if (message instanceof PeerMessage.DocumentGiven given) {
            nodeLoop.tryPublish(new NodeInput.PeerDocumentReceived(
                    new DocumentFold.DocumentCopy(given.version(), given.text(), given.throughOffset())));
        }
    }

    private void tick(long nowMs) {
        if (leaving && !leaveStarted) {
            leaveStarted = true;
            handleMembership(new MembershipInput.Leave());
        }
        if (nowMs - lastSeedMs >= SEED_INTERVAL_MS) {
            lastSeedMs = nowMs;
            handleMembership(new MembershipInput.VmList(seeds, List.of()));
        }
        handleMembership(new MembershipInput.Tick());
        if (nowMs - lastStatusMs >= STATUS_INTERVAL_MS) {
            lastStatusMs = nowMs;
            refreshLocalState();
            sendStatus();
        }
    }

    private void handleMembership(MembershipInput input) {
        MembershipOutput output = protocol.handle(input, clock.getAsLong());
        view.apply(output.changes());
        output.changes()
                .forEach(change -> LOG.info(
                        "member_changed",
                        "node",
                        self.id(),
                        "member",
                        change.member().id(),
                        "state",
                        change.member().state()));
        output.messages()
                .forEach(outbound -> transport.send(outbound.to(), new PeerMessage.Membership(outbound.message())));
    }

    /** Requests the state from the main loop; it arrives later, so the status that is sent next may be an older one. */
    private void refreshLocalState() {
        nodeLoop.query((machine, nowMs) -> new LocalState(
                        Optional.of(new PeerMessage.NodeStatusMessage(
                                self.id(),
                                self.dataCentre(),
                                leaving,
                                machine.schedules(),
                                machine.fold().nextOffset(),
                                machine.fold()
                                        .document()
                                        .inForce()
                                        .map(DocumentFold.VersionInForce::version)
                                        .orElse(0))),
                        machine.fold().document().copy(machine.fold().nextOffset() - 1),
                        machine.readsLog(nowMs)))
                .subscribe(localState::set, error -> LOG.warn("status_skipped", "node", self.id()));
    }

    /**
     * Sends this node's status to some of the other nodes in turn. If the log cannot be read, also asks one of them for
     * a newer document.
     */
    private void sendStatus() {
        LocalState state = localState.get();
        if (state.status().isEmpty()) {
            return;
        }
        statuses.put(self.id(), state.status().get());
        statuses.keySet()
                .removeIf(id -> !id.equals(self.id()) && view.member(id).isEmpty());
        publishedStatuses.set(List.copyOf(statuses.values()));
        List<Member> others = view.members().stream()
                .filter(member -> !member.id().equals(self.id()))
                .toList();
        for (int i = 0; i < Math.min(STATUS_FANOUT, others.size()); i++) {
            Member to = others.get(Math.floorMod(nextRecipient++, others.size()));
            transport.send(to.endpoint(), new PeerMessage.Status(state.status().get()));
        }
        if (!state.readsLog() && !others.isEmpty()) {
            Member peer = others.get(Math.floorMod(nextRecipient, others.size()));
            transport.send(
                    peer.endpoint(),
                    new PeerMessage.DocumentAsked(
                            self.id(),
                            self.endpoint().host(),
                            self.endpoint().port(),
                            state.status().get().documentVersion()));
        }
    }

    private void sendDocument(PeerMessage.DocumentAsked asked) {
        localState
                .get()
                .documentCopy()
                .filter(copy -> copy.version() > asked.version())
                .ifPresent(copy -> transport.send(
                        new Endpoint(asked.replyHost(), asked.replyPort()),
                        new PeerMessage.DocumentGiven(copy.version(), copy.text(), copy.throughOffset())));
    }

    /**
     * State of this node as last read from its main loop.
     *
     * @param status this node's status
     * @param documentCopy copy of its document for other nodes
     * @param readsLog whether it can read the log
     */
    private record LocalState(
            Optional<PeerMessage.NodeStatusMessage> status,
            Optional<DocumentFold.DocumentCopy> documentCopy,
            boolean readsLog) {

        private static final LocalState UNKNOWN = new LocalState(Optional.empty(), Optional.empty(), true);
    }
}

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
import reactor.netty.DisposableServer;

/**
 * The thread that owns the membership protocol, behind a bounded ring, and passes documents between nodes while the log
 * cannot be read. It decides nothing: authority is in the log alone. Runs from {@link #start} to {@link #leave}.
 */
public final class PeerLoop {

    private static final EventLog LOG = new EventLog(PeerLoop.class);
    private static final int RING_MESSAGES = 4096;
    private static final long TICK_MS = 100;
    private static final long STATUS_MS = 2000;
    private static final long LIST_MS = 5000;
    private static final int STATUS_FANOUT = 8;

    private final Member self;
    private final List<Endpoint> seeds;
    private final MembershipProtocol protocol;
    private final NodeLoop node;
    private final LongSupplier clock;
    private final PeerLink link;
    private final BlockingQueue<PeerMessage> ring = new ArrayBlockingQueue<>(RING_MESSAGES);
    private final MembershipView view = new MembershipView();
    private final Map<NodeId, PeerMessage.NodeStatusMessage> statuses = new TreeMap<>();
    private final AtomicReference<List<PeerMessage.NodeStatusMessage>> published = new AtomicReference<>(List.of());
    private final AtomicReference<OwnState> own = new AtomicReference<>(OwnState.UNKNOWN);
    private volatile boolean leaving;
    private boolean leaveSent;
    private long statusMs;
    private long listMs;
    private int statusTurn;

    /**
     * Creates a loop that does not run yet.
     *
     * @param self this node
     * @param seeds peer ports of the nodes that the settings name
     * @param secret the secret that all nodes share
     * @param protocol the membership protocol
     * @param node the node's main loop
     * @param clock present time in ms since the epoch
     * @param metrics takes bytes and refused frames
     */
    public PeerLoop(
            Member self,
            List<Endpoint> seeds,
            String secret,
            MembershipProtocol protocol,
            NodeLoop node,
            LongSupplier clock,
            MetricRegistry metrics) {
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.protocol = protocol;
        this.node = node;
        this.clock = clock;
        this.link = new PeerLink(new PeerCodec(secret), ring::offer, metrics);
    }

    /**
     * Listens and starts the thread.
     *
     * @return the listening port
     */
    public DisposableServer start() {
        DisposableServer server =
                link.listen(self.endpoint().host(), self.endpoint().port());
        Thread thread = new Thread(this::run, "peer-loop");
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    /** Tells the other nodes that this one is stopping. */
    public void leave() {
        leaving = true;
    }

    /**
     * Lists what the nodes that are alive last told of themselves, this node included.
     *
     * @return the statuses in order of node
     */
    public List<PeerMessage.NodeStatusMessage> statuses() {
        return published.get();
    }

    private void run() {
        long tickedMs = 0;
        while (!Thread.currentThread().isInterrupted()) {
            try {
                PeerMessage message = ring.poll(TICK_MS, TimeUnit.MILLISECONDS);
                if (message != null) {
                    take(message);
                }
                long nowMs = clock.getAsLong();
                if (nowMs - tickedMs >= TICK_MS) {
                    tickedMs = nowMs;
                    tick(nowMs);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.warn("peer_failed", "node", self.id(), "error", e);
            }
        }
    }

    private void take(PeerMessage message) {
        if (message instanceof PeerMessage.Membership membership) {
            drive(new MembershipInput.Received(membership.message()));
        } else if (message instanceof PeerMessage.Status status) {
            statuses.put(status.status().node(), status.status());
        } else if (message instanceof PeerMessage.DocumentAsked asked) {
            giveDocument(asked);
        } else if (message instanceof PeerMessage.DocumentGiven given) {
            node.tryPublish(new NodeInput.PeerDocumentReceived(
                    new DocumentFold.DocumentCopy(given.version(), given.text(), given.throughOffset())));
        }
    }

    private void tick(long nowMs) {
        if (leaving && !leaveSent) {
            leaveSent = true;
            drive(new MembershipInput.Leave());
        }
        if (nowMs - listMs >= LIST_MS) {
            listMs = nowMs;
            drive(new MembershipInput.VmList(seeds, List.of()));
        }
        drive(new MembershipInput.Tick());
        if (nowMs - statusMs >= STATUS_MS) {
            statusMs = nowMs;
            refreshOwnState();
            tellStatus();
        }
    }

    private void drive(MembershipInput input) {
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
        output.messages().forEach(outbound -> link.send(outbound.to(), new PeerMessage.Membership(outbound.message())));
    }

    private void refreshOwnState() {
        node.ask((machine, nowMs) -> new OwnState(
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
                .subscribe(own::set, error -> LOG.warn("status_skipped", "node", self.id()));
    }

    private void tellStatus() {
        OwnState state = own.get();
        if (state.status().isEmpty()) {
            return;
        }
        statuses.put(self.id(), state.status().get());
        statuses.keySet()
                .removeIf(id -> !id.equals(self.id()) && view.member(id).isEmpty());
        published.set(List.copyOf(statuses.values()));
        List<Member> others = view.members().stream()
                .filter(member -> !member.id().equals(self.id()))
                .toList();
        for (int i = 0; i < Math.min(STATUS_FANOUT, others.size()); i++) {
            Member to = others.get(Math.floorMod(statusTurn++, others.size()));
            link.send(to.endpoint(), new PeerMessage.Status(state.status().get()));
        }
        if (!state.readsLog() && !others.isEmpty()) {
            Member helper = others.get(Math.floorMod(statusTurn, others.size()));
            link.send(
                    helper.endpoint(),
                    new PeerMessage.DocumentAsked(
                            self.id(),
                            self.endpoint().host(),
                            self.endpoint().port(),
                            state.status().get().documentVersion()));
        }
    }

    private void giveDocument(PeerMessage.DocumentAsked asked) {
        own.get()
                .documentCopy()
                .filter(copy -> copy.version() > asked.version())
                .ifPresent(copy -> link.send(
                        new Endpoint(asked.replyHost(), asked.replyPort()),
                        new PeerMessage.DocumentGiven(copy.version(), copy.text(), copy.throughOffset())));
    }

    /**
     * What the main loop last told.
     *
     * @param status this node's status
     * @param documentCopy its document, for other nodes
     * @param readsLog whether it reads the log
     */
    private record OwnState(
            Optional<PeerMessage.NodeStatusMessage> status,
            Optional<DocumentFold.DocumentCopy> documentCopy,
            boolean readsLog) {

        private static final OwnState UNKNOWN = new OwnState(Optional.empty(), Optional.empty(), true);
    }
}

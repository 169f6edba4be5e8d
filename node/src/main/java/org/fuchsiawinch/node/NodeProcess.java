package org.fuchsiawinch.node;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.core.Decision;
import org.fuchsiawinch.core.GuaranteeScheduler;
import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.membership.Endpoint;
import org.fuchsiawinch.membership.GossipMembership;
import org.fuchsiawinch.membership.GossipSettings;
import org.fuchsiawinch.membership.Member;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.node.adapter.LogClient;
import org.fuchsiawinch.node.adapter.WorkerClient;
import org.fuchsiawinch.node.http.NodeHttpServer;
import org.fuchsiawinch.node.http.NodeStatus;
import org.fuchsiawinch.node.http.OpenRequests;
import org.fuchsiawinch.node.loop.NodeLoop;
import org.fuchsiawinch.node.peer.PeerLoop;
import org.fuchsiawinch.node.records.BurnReportRecorder;
import org.fuchsiawinch.protocol.fold.LedgerDocumentFold;
import org.fuchsiawinch.protocol.node.NodeEffect;
import org.fuchsiawinch.protocol.node.NodeEvent;
import org.fuchsiawinch.protocol.node.NodeInput;
import org.fuchsiawinch.protocol.node.NodeMachine;
import org.fuchsiawinch.protocol.node.NodeSettings;
import org.fuchsiawinch.runtime.EventLog;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.wire.PlatformMessages;

/** Creates and connects the state machine, threads and adapters of one node. Can be started once. */
public final class NodeProcess {

    private static final EventLog LOG = new EventLog(NodeProcess.class);
    private static final long TICK_INTERVAL_MS = 100;
    private static final long WORKER_POLL_INTERVAL_MS = 1000;
    private static final long SAMPLE_INTERVAL_MS = 5000;

    private final String name;
    private final AtomicReference<LedgerDocumentFold> documentFold = new AtomicReference<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final OpenRequests openRequests = new OpenRequests();
    private final AtomicReference<Optional<Document>> document = new AtomicReference<>(Optional.empty());
    private final CountDownLatch drained = new CountDownLatch(1);
    private final NodeLoop loop;
    private final LogClient log;
    private final WorkerClient workers;
    private final NodeHttpServer httpServer;
    private final Optional<PeerLoop> peers;
    private final NodeStatus status;
    private final BurnReportRecorder recorder = new BurnReportRecorder();

    /**
     * Creates a node that is not started.
     *
     * @param settings checked settings
     * @param startedMs present Unix time in ms; part of the node id, so that a restarted node has a new id
     */
    public NodeProcess(Settings settings, long startedMs) {
        this.name = settings.value(NodeFlags.NAME);
        NodeMachine machine =
                new NodeMachine(machineSettings(settings, startedMs), this::newDocumentFold, GuaranteeScheduler::new);
        this.loop = new NodeLoop(
                machine,
                this::execute,
                System::currentTimeMillis,
                settings.value(NodeFlags.RING_SIZE).intValue(),
                metrics);
        String platform = settings.value(NodeFlags.PLATFORM_URL);
        this.log = new LogClient(platform, loop::publish);
        this.workers = new WorkerClient(platform, loop::publish);
        this.status =
                new NodeStatus(name, settings.value(NodeFlags.DATA_CENTRE), () -> loop.publish(new NodeInput.Drain()));
        this.peers = createPeerLoop(settings, startedMs);
        this.httpServer = new NodeHttpServer(
                settings.value(NodeFlags.HOST),
                settings.value(NodeFlags.PORT).intValue(),
                settings.value(NodeFlags.BODY_LIMIT_BYTES).intValue(),
                settings.value(NodeFlags.FOUNDING_TOKEN),
                loop,
                openRequests,
                document::get,
                metrics,
                status,
                recorder,
                workers::lastList,
                () -> peers.map(PeerLoop::statuses).orElse(List.of()),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    /**
     * Opens the ports, then starts all threads. Requests that arrive before wait for the threads. Throws an exception
     * of the network library if a port is in use; then no thread was started, and a drain is complete at once.
     */
    public void start() {
        openPorts();
        loop.start();
        startThread("log-reader", log::follow);
        startThread("ticker", () -> repeat(TICK_INTERVAL_MS, () -> loop.publish(new NodeInput.Tick())));
        startThread("worker-list", () -> repeat(WORKER_POLL_INTERVAL_MS, workers::poll));
        startThread("sampler", () -> repeat(SAMPLE_INTERVAL_MS, this::sample));
        peers.ifPresent(PeerLoop::start);
        LOG.info("node_started", "node", name);
    }

    /**
     * Releases the cell, waits until every open request is answered, then closes the port and the connections. During
     * {@link #start} it also waits for the end of the start. The wait ends early if the thread is interrupted.
     */
    public void drainAndStop() {
        status.requestDrain();
        peers.ifPresent(PeerLoop::leave);
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        httpServer.stop();
        LOG.info("node_stopped", "node", name);
    }

    /**
     * Waits until a drain is complete: the cell is released and every open request is answered. The port may still be
     * open.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitDrained() throws InterruptedException {
        drained.await();
    }

    private void openPorts() {
        try {
            peers.ifPresent(PeerLoop::listen);
            httpServer.start();
        } catch (RuntimeException e) {
            drained.countDown();
            throw e;
        }
    }

    private Optional<PeerLoop> createPeerLoop(Settings settings, long startedMs) {
        int port = settings.value(NodeFlags.PEER_PORT).intValue();
        if (port == 0) {
            return Optional.empty();
        }
        Member self = Member.alive(
                new NodeId(name + "-" + startedMs),
                new Endpoint(settings.value(NodeFlags.HOST), port),
                settings.value(NodeFlags.DATA_CENTRE));
        return Optional.of(new PeerLoop(
                self,
                settings.value(NodeFlags.PEERS),
                settings.value(NodeFlags.PEER_SECRET),
                new GossipMembership(self, GossipSettings.DEFAULTS, startedMs),
                loop,
                System::currentTimeMillis,
                metrics));
    }

    private static NodeSettings machineSettings(Settings settings, long startedMs) {
        NodeId id = new NodeId(settings.value(NodeFlags.NAME) + "-" + startedMs);
        return NodeSettings.defaults(id, settings.value(NodeFlags.CLAIM_RANK).intValue())
                .withIntervals(
                        settings.value(NodeFlags.HEARTBEAT_INTERVAL_MS),
                        settings.value(NodeFlags.OWNER_TIMEOUT_MS),
                        settings.value(NodeFlags.LEASE_MS));
    }

    private void sample() {
        List<WorkerSpec> listed = workers.lastList().stream()
                .map(PlatformMessages.ListedWorker::worker)
                .toList();
        loop.query((machine, nowMs) -> {
                    recorder.sample(machine.fold(), listed, nowMs);
                    return nowMs;
                })
                .subscribe(
                        sampledMs -> {
                            // the query has already stored the sample in the recorder
                        },
                        error -> LOG.warn("sample_skipped", "node", name, "error", error.getMessage()));
    }

    /**
     * Creates the state machine's document fold and keeps it, so that its document can be published. Called when the
     * state machine is created, and on the loop's thread after each gap in the log.
     */
    private LedgerDocumentFold newDocumentFold() {
        LedgerDocumentFold fold = new LedgerDocumentFold();
        documentFold.set(fold);
        return fold;
    }

    private void execute(NodeEffect effect) {
        if (effect instanceof NodeEffect.Append append) {
            metrics.meter("log.appends").mark();
            metrics.meter("log.records").mark(append.batch().size());
            log.append(append);
        } else if (effect instanceof NodeEffect.Command command) {
            metrics.meter("worker.commands").mark();
            workers.send(command);
        } else if (effect instanceof NodeEffect.Reply reply) {
            openRequests.reply(reply.requestId(), reply.reply());
        } else if (effect instanceof NodeEffect.Report report) {
            report(report.event());
        } else {
            // NodeEffect.Drained
            drained.countDown();
        }
    }

    private void report(NodeEvent event) {
        if (event instanceof NodeEvent.DocumentInForce inForce) {
            document.set(documentFold.get().document());
            LOG.info("document_in_force", "node", name, "version", inForce.version());
        } else if (event instanceof NodeEvent.CellTaken taken) {
            LOG.info("cell_taken", "node", name, "cell", taken.cell(), "epoch", taken.epoch());
        } else if (event instanceof NodeEvent.CellLost lost) {
            LOG.info("cell_lost", "node", name, "cell", lost.cell(), "epoch", lost.epoch());
        } else if (event instanceof NodeEvent.CellActive active) {
            LOG.info(
                    "cell_active",
                    "node",
                    name,
                    "epoch",
                    active.epoch(),
                    "workers",
                    active.workers(),
                    "in_doubt",
                    active.inDoubt());
        } else if (event instanceof NodeEvent.Decided decided) {
            reportDecision(decided.decision());
        } else if (event instanceof NodeEvent.WorkerSilent silent) {
            LOG.warn("worker_silent", "node", name, "worker", silent.worker());
        } else if (event instanceof NodeEvent.LogGapFound gap) {
            LOG.warn("log_gap", "node", name, "wanted", gap.wantedOffset(), "first", gap.firstOffset());
        } else if (event instanceof NodeEvent.SnapshotLoaded loaded) {
            LOG.info("snapshot_loaded", "node", name, "up_to", loaded.upToOffset(), "jobs", loaded.jobs());
        } else if (event instanceof NodeEvent.OwnRecordVoid voided) {
            LOG.info("record_void", "node", name, "sequence", voided.id().sequence(), "code", voided.code());
        }
    }

    private void reportDecision(Decision decision) {
        metrics.counter("decisions." + decision.reason().code()).inc();
        LOG.info(
                "decision",
                "node",
                name,
                "kind",
                decision.getClass().getSimpleName(),
                "reason",
                decision.reason().code(),
                "subject",
                subject(decision),
                "price_micros",
                decision.reason().priceMicros());
    }

    private static Object subject(Decision decision) {
        if (decision instanceof Decision.StartGang start) {
            return start.attempt();
        }
        if (decision instanceof Decision.StopGang stop) {
            return stop.attempt();
        }
        if (decision instanceof Decision.EndJob end) {
            return end.job();
        }
        if (decision instanceof Decision.PromoteGang promote) {
            return promote.attempt();
        }
        if (decision instanceof Decision.ProbeWorker probe) {
            return probe.worker();
        }
        if (decision instanceof Decision.QuarantineWorker quarantine) {
            return quarantine.worker();
        }
        if (decision instanceof Decision.GuaranteeLost lost) {
            return lost.workspace();
        }
        return decision.getClass().getSimpleName();
    }

    private static void startThread(String name, Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static void repeat(long periodMs, Runnable body) {
        while (!Thread.currentThread().isInterrupted()) {
            body.run();
            try {
                Thread.sleep(periodMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}

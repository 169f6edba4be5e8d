package org.fuchsiawinch.server;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import org.fuchsiawinch.server.desk.CallerDesk;
import org.fuchsiawinch.server.owner.OwnerLoop;
import org.fuchsiawinch.server.port.Stream;
import org.fuchsiawinch.server.port.StreamStore;
import org.fuchsiawinch.server.port.StreamStore.AppendResult;
import org.fuchsiawinch.server.stream.IntakeAppender;
import org.fuchsiawinch.server.stream.RecordReader;
import org.fuchsiawinch.server.stream.StreamFollower;
import org.fuchsiawinch.workflow.cell.CellRules;
import org.fuchsiawinch.workflow.cell.Election;
import org.fuchsiawinch.workflow.cell.JobIndex;
import org.fuchsiawinch.workflow.owner.DecisionLog;
import org.fuchsiawinch.workflow.owner.Guarantees;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.fuchsiawinch.workflow.record.RecordCodec;
import reactor.core.scheduler.Scheduler;

/**
 * A node: follows the operators' document and the cell's stream, answers callers, and owns the cell while no other node
 * does. Runs on one thread, which also calls it; lives as long as the process.
 */
public final class Node {

    private static final long TICK_MS = 80;

    /** Age in ms of the last answer of the store from which on the node takes no new connections. */
    private static final long READY_AGE_MS = 1800;

    /** The owner reads at once, as each record may be a job to start; a waiting read finds a dead connection out. */
    private static final StreamFollower.Pace OWNER_PACE = new StreamFollower.Pace(500, 0);

    /** Other nodes let records gather, which saves calls; callers see them within the pause. */
    private static final StreamFollower.Pace FOLLOWER_PACE = new StreamFollower.Pace(500, 150);

    /** A document has to be in force within two seconds, also if a waiting read hears nothing. */
    private static final StreamFollower.Pace OPERATOR_PACE = new StreamFollower.Pace(600, 0);

    private final NodeSettings settings;
    private final OwnerLoop.Ports ports;
    private final Scheduler scheduler;
    private final LongSupplier clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final RecordCodec codec = new RecordCodec();
    private final RecordReader reader;
    private final JobIndex index = new JobIndex();
    private final Election election;
    private final StreamFollower cell;
    private final StreamFollower operator;
    private final IntakeAppender intake;
    private final CallerDesk desk;
    private Optional<CellRules> rules = Optional.empty();
    private Optional<OwnerLoop> ownership = Optional.empty();
    private OptionalLong claiming = OptionalLong.empty();
    private boolean claimUnderWay;
    private boolean contested;
    private long claimFrom;
    private boolean draining;

    /**
     * Creates a node that does nothing yet.
     *
     * @param settings its settings
     * @param ports the platform
     * @param scheduler the one thread
     * @param clock present time in ms
     * @param log takes a line for each decision
     * @param metrics takes the counters
     */
    public Node(
            NodeSettings settings,
            OwnerLoop.Ports ports,
            Scheduler scheduler,
            LongSupplier clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.settings = settings;
        this.ports = ports;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.reader = new RecordReader(log);
        this.election = new Election(settings.name(), settings.seed(), clock.getAsLong());
        this.cell = follower(Stream.CELL, FOLLOWER_PACE, new CellListener());
        this.operator = follower(Stream.OPERATOR, OPERATOR_PACE, new OperatorListener());
        this.intake = new IntakeAppender(ports.store(), scheduler, clock, log);
        this.desk = new CallerDesk(index, () -> rules, cell, operator, intake, codec, clock, log, metrics);
    }

    private StreamFollower follower(Stream stream, StreamFollower.Pace pace, StreamFollower.Listener listener) {
        return new StreamFollower(stream, ports.store(), pace, scheduler, clock, settings.seed(), listener, log);
    }

    /** Starts to follow the streams. */
    public void start() {
        operator.start();
        cell.start();
        scheduler.schedulePeriodically(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Gives the desk for callers.
     *
     * @return the desk
     */
    public CallerDesk desk() {
        return desk;
    }

    /**
     * Gives the size of the largest body that is taken.
     *
     * @param otherwise size in bytes before rules are in force
     * @return size in bytes
     */
    public int maxBodyBytes(int otherwise) {
        return rules.map(CellRules::maxBodyBytes).orElse(otherwise);
    }

    /**
     * Says whether this node wants new connections.
     *
     * @param nowMs present time in ms
     * @return true while it can serve them
     */
    public boolean ready(long nowMs) {
        return !draining
                && rules.isPresent()
                && cell.loaded()
                && cell.ageMs(nowMs) <= READY_AGE_MS
                && operator.ageMs(nowMs) <= READY_AGE_MS;
    }

    /**
     * Says whether the node is on its way out.
     *
     * @return true from {@link #drain()} on
     */
    public boolean draining() {
        return draining;
    }

    /** Leaves the balancer and hands the cell over; callers that are connected are still answered. */
    public void drain() {
        if (!draining) {
            draining = true;
            ownership.ifPresent(OwnerLoop::release);
        }
    }

    private void tick() {
        long nowMs = clock.getAsLong();
        boolean behind = cell.cursor() < claimFrom;
        if (draining || claimUnderWay || ownership.isPresent() || !cell.loaded() || rules.isEmpty() || behind) {
            return;
        }
        election.epochToClaim(nowMs).ifPresent(this::claim);
    }

    /**
     * Claims the cell. The first claim holds only if nothing was stored since this node has read, which leaves one
     * winner among many. Once that has failed, and what was stored turns out to be no claim, the epoch alone decides:
     * under load at a slow store the stream never ends where a node has read.
     */
    private void claim(long epoch) {
        claimUnderWay = true;
        claiming = OptionalLong.of(epoch);
        log.line("cell-claimed", "epoch", epoch, "lastOwner", election.owner(), "at", cell.cursor());
        CellRecord record = new CellRecord.Owner(settings.name(), epoch, false);
        List<StreamStore.Entry> entries = List.of(new StreamStore.Entry(record.key(), codec.encode(record)));
        ports.store()
                .append(
                        entries,
                        Optional.of(new StreamStore.Writer(epoch, 0)),
                        contested ? OptionalLong.empty() : OptionalLong.of(cell.cursor()))
                .subscribe(result -> {
                    claimUnderWay = false;
                    if (result instanceof AppendResult.Stored) {
                        own(epoch);
                        return;
                    }
                    log.line("claim-failed", "epoch", epoch, "contested", contested, "result", result);
                    if (result instanceof AppendResult.Moved moved) {
                        claimFrom = moved.end();
                        contested = true;
                    }
                });
    }

    private void own(long epoch) {
        if (ownership.isPresent() || draining || claiming.isEmpty() || claiming.getAsLong() != epoch) {
            return;
        }
        OwnerLoop loop = new OwnerLoop(
                settings.owner(),
                epoch,
                rules.map(CellRules::guarantees).orElse(Guarantees.NONE),
                ports,
                scheduler,
                clock,
                log,
                this::disown);
        ownership = Optional.of(loop);
        cell.pace(OWNER_PACE);
        loop.start();
    }

    private void disown() {
        ownership = Optional.empty();
        claiming = OptionalLong.empty();
        cell.pace(FOLLOWER_PACE);
    }

    /** Folds the cell's records. */
    private final class CellListener implements StreamFollower.Listener {

        @Override
        public void snapshot(List<StreamStore.Placed> entries) {
            index.clear();
            entries(entries);
        }

        @Override
        public void entries(List<StreamStore.Placed> entries) {
            long nowMs = clock.getAsLong();
            List<CellRecord> records = reader.read(entries);
            for (CellRecord record : records) {
                index.apply(record);
                election.apply(record, nowMs);
                contested &= !(record instanceof CellRecord.Owner);
                if (record instanceof CellRecord.Owner owner
                        && owner.node().equals(settings.name())
                        && !owner.released()) {
                    own(owner.epoch());
                }
            }
            ownership.ifPresent(loop -> loop.recordsRead(records));
        }

        @Override
        public void readToEnd() {
            election.readToEnd(clock.getAsLong());
        }

        @Override
        public void regained() {
            intake.contactRegained();
            ownership.ifPresent(OwnerLoop::contactRegained);
        }
    }

    /** Puts newer documents in force; an older one never replaces a newer one. */
    private final class OperatorListener implements StreamFollower.Listener {

        @Override
        public void snapshot(List<StreamStore.Placed> entries) {
            entries(entries);
        }

        @Override
        public void entries(List<StreamStore.Placed> entries) {
            for (StreamStore.Placed placed : entries) {
                ports.directory()
                        .rules(placed.entry().key(), placed.entry().value())
                        .ifPresent(this::apply);
            }
        }

        @Override
        public void readToEnd() {
            // The age of the rules is that of the follower's last read.
        }

        private void apply(CellRules read) {
            long inForce = rules.map(CellRules::version).orElse(Long.MIN_VALUE);
            if (read.version() <= inForce) {
                return;
            }
            rules = Optional.of(read);
            metrics.counter("rules.changes").inc();
            log.line("rules-in-force", "version", read.version(), "before", inForce, "queues", read.queueCount());
            ownership.ifPresent(loop -> loop.guaranteesChanged(read.guarantees()));
        }
    }
}

package org.fuchsiawinch.protocol.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.fuchsiawinch.core.Reason;
import org.fuchsiawinch.core.Scheduler;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.protocol.ProtocolFeature;
import org.fuchsiawinch.protocol.fold.CellEntry;
import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.fold.JobEntry;
import org.fuchsiawinch.protocol.fold.JobStatus;
import org.fuchsiawinch.protocol.fold.LogFold;
import org.fuchsiawinch.protocol.fold.Sha256;
import org.fuchsiawinch.protocol.fold.SnapshotAssembler;
import org.fuchsiawinch.protocol.fold.VoidCode;
import org.fuchsiawinch.protocol.node.internal.Appender;
import org.fuchsiawinch.protocol.node.internal.CellOwner;
import org.fuchsiawinch.protocol.node.internal.CommandPacer;
import org.fuchsiawinch.protocol.node.internal.Outlet;
import org.fuchsiawinch.protocol.node.internal.Recovery;
import org.fuchsiawinch.protocol.node.internal.RequestDesk;
import org.fuchsiawinch.protocol.node.internal.SnapshotWriter;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.record.RecordId;

/**
 * State machine of a node: turns inputs into effects and performs no input or output itself. Deterministic: the same
 * inputs at the same times lead to the same effects. Not thread-safe; a single thread must own an instance until it
 * emits {@link NodeEffect.Drained}.
 */
public final class NodeMachine {

    private static final long ACCEPT_TIMEOUT_MS = 5000;
    private static final long LOG_DOWN_AFTER_MS = 2000;
    private static final long LOG_RETRY_MS = 5000;
    private static final long READ_FRESH_MS = 1500;
    private static final long STOOD_STILL_MS = 2000;
    private static final long NEVER_HEARD = -2;

    private final NodeSettings settings;
    private final Supplier<DocumentFold> documents;
    private final Appender appender;
    private final CommandPacer pacer;
    private final RequestDesk desk = new RequestDesk();
    private final CellOwner owner;
    private final Set<JobId> submitting = new HashSet<>();
    private final Set<RecordId> documentChanges = new HashSet<>();
    private final SnapshotWriter snapshots;
    private LogFold fold;
    private Optional<Recovery> recovery = Optional.empty();
    private List<NodeEffect> effects = new ArrayList<>();
    private long inputMs;
    private long endReachedMs = Long.MIN_VALUE / 2;
    private long ownerHeardMs;
    private long ownerHeardOffset = NEVER_HEARD;
    private long ownedEpoch;
    private boolean claimPending;
    private boolean holdPending;
    private boolean releasePending;
    private long heldMs;
    private int documentVersion;
    private boolean draining;
    private boolean drained;

    /**
     * Creates a node that has read no record yet.
     *
     * @param settings the node's settings
     * @param document fold of the document records
     * @param schedulers creates a scheduler each time this node takes over the cell
     */
    public NodeMachine(NodeSettings settings, DocumentFold document, Supplier<Scheduler> schedulers) {
        this(settings, () -> document, schedulers);
    }

    /**
     * Creates a node that has read no record yet.
     *
     * @param settings the node's settings
     * @param documents creates the fold of the document records, at the start and again after a gap in the log
     * @param schedulers creates a scheduler each time this node takes over the cell
     */
    public NodeMachine(NodeSettings settings, Supplier<DocumentFold> documents, Supplier<Scheduler> schedulers) {
        this.settings = settings;
        this.documents = documents;
        this.fold = new LogFold(documents.get(), settings.features());
        this.snapshots = new SnapshotWriter(settings, new MachineOutlet());
        this.appender = new Appender(settings.node(), settings.maxBatchRecords());
        this.pacer = new CommandPacer(settings.renewIntervalMs() / 2);
        this.owner = new CellOwner(settings, schedulers, this::fold, new MachineOutlet());
    }

    /**
     * Handles one input.
     *
     * @param input the input
     * @param nowMs current Unix time in ms
     * @return the effects to carry out, in order
     */
    public List<NodeEffect> handle(NodeInput input, long nowMs) {
        effects = new ArrayList<>();
        if (nowMs - inputMs > STOOD_STILL_MS) {
            owner.resumed(nowMs);
        }
        inputMs = nowMs;
        dispatch(input, nowMs);
        appender.next(nowMs).ifPresent(effects::add);
        return effects;
    }

    /**
     * Returns the state folded from the log.
     *
     * @return the state, which callers must not modify
     */
    public LogFold fold() {
        return fold;
    }

    /**
     * Returns whether this node owns its cell and schedules it.
     *
     * @return true from the end of the inventory until the cell is lost or released
     */
    public boolean schedules() {
        return owner.active();
    }

    /**
     * Returns whether this node has recently read the log to its end.
     *
     * @param nowMs current Unix time in ms
     * @return false while the log is unavailable or this node cannot reach it
     */
    public boolean readsLog(long nowMs) {
        return nowMs - endReachedMs <= READ_FRESH_MS;
    }

    /**
     * Returns why a job waits, if this node schedules it.
     *
     * @param job the job
     * @param nowMs current Unix time in ms
     * @return the reason, or empty if unknown
     */
    public Optional<Reason> waitReason(JobId job, long nowMs) {
        return owner.waitReason(job, nowMs);
    }

    /**
     * Returns the reason of the last decision on a job, if this node took that decision.
     *
     * @param job the job
     * @return the reason, or empty if unknown
     */
    public Optional<Reason> lastReason(JobId job) {
        return owner.lastReason(job);
    }

    private void dispatch(NodeInput input, long nowMs) {
        if (input instanceof NodeInput.RecordRead read) {
            logRead(read, nowMs);
        } else if (input instanceof NodeInput.LogGap gap) {
            gapFound(gap.firstOffset());
        } else if (input instanceof NodeInput.LogEndReached) {
            endReached(nowMs);
        } else if (input instanceof NodeInput.PeerDocumentReceived received) {
            peerDocumentReceived(received.copy(), nowMs);
        } else if (input instanceof NodeInput.AppendDone done) {
            appender.done(done.firstSequence());
        } else if (input instanceof NodeInput.AppendFailed failed) {
            appender.failed(failed.firstSequence(), nowMs);
        } else if (input instanceof NodeInput.WorkersListed workers) {
            owner.listed(workers.workers(), workers.leaving(), nowMs);
        } else if (input instanceof NodeInput.WorkerReplied replied) {
            owner.replied(replied.worker(), replied.epoch(), replied.reply(), nowMs);
        } else if (input instanceof NodeInput.JobSubmit submit) {
            submit(submit, nowMs);
        } else if (input instanceof NodeInput.JobLookup lookup) {
            lookup(lookup, nowMs);
        } else if (input instanceof NodeInput.JobCancel cancel) {
            cancel(cancel, nowMs);
        } else if (input instanceof NodeInput.DocumentChange change) {
            changeDocument(change, nowMs);
        } else if (input instanceof NodeInput.Drain) {
            drain(nowMs);
        } else {
            tick(nowMs);
        }
    }

    private void logRead(NodeInput.RecordRead read, long nowMs) {
        if (recovery.isEmpty()) {
            recordRead(read.offset(), read.envelope(), nowMs);
            return;
        }
        Optional<SnapshotAssembler.CompleteSnapshot> snapshot = recovery.get().take(read);
        if (snapshot.isEmpty()) {
            return;
        }
        long upToOffset = snapshot.get().done().upToOffset();
        List<NodeInput.RecordRead> tail = recovery.get().after(upToOffset);
        recovery = Optional.empty();
        fold.load(snapshot.get());
        effects.add(new NodeEffect.Report(
                new NodeEvent.SnapshotLoaded(upToOffset, fold.jobs().size())));
        followOwner(nowMs);
        followDocument(nowMs);
        List.copyOf(fold.jobs()).forEach(job -> desk.jobChanged(job, effects::add));
        tail.forEach(kept -> recordRead(kept.offset(), kept.envelope(), nowMs));
    }

    private void gapFound(long firstOffset) {
        if (firstOffset <= fold.nextOffset()) {
            return;
        }
        effects.add(new NodeEffect.Report(new NodeEvent.LogGapFound(fold.nextOffset(), firstOffset)));
        recovery = Optional.of(new Recovery(firstOffset));
        fold = new LogFold(documents.get(), settings.features());
        endReachedMs = Long.MIN_VALUE / 2;
        ownedEpoch = 0;
        ownerHeardOffset = NEVER_HEARD;
        claimPending = false;
        holdPending = false;
        owner.drop();
        snapshots.drop();
    }

    private void recordRead(long offset, Envelope envelope, long nowMs) {
        if (offset < fold.nextOffset()) {
            return;
        }
        Optional<VoidCode> refused = fold.apply(offset, envelope);
        boolean own = envelope.id().writer().equals(settings.node());
        LogRecord record = envelope.record();
        if (own) {
            ownRecordRead(envelope, refused, nowMs);
        }
        if (refused.isPresent()) {
            return;
        }
        followOwner(nowMs);
        followDocument(nowMs);
        jobOf(record).flatMap(fold::job).ifPresent(job -> desk.jobChanged(job, effects::add));
        if (own && actsBeforeReadBack(record)) {
            return;
        }
        if (jobOf(record).flatMap(fold::job).filter(this::inCell).isPresent()) {
            owner.recordRead(record, true);
        }
    }

    private void ownRecordRead(Envelope envelope, Optional<VoidCode> refused, long nowMs) {
        appender.readBack(envelope.id().sequence());
        LogRecord record = envelope.record();
        if (refused.filter(VoidCode.DUPLICATE_RECORD::equals).isPresent()) {
            return;
        }
        if (record instanceof LogRecord.CellClaimed) {
            claimPending = false;
        } else if (record instanceof LogRecord.CellHeld) {
            holdPending = false;
        } else if (record instanceof LogRecord.CellReleased) {
            releasePending = false;
        } else if (record instanceof LogRecord.SnapshotDone) {
            snapshots.endRead();
        } else if (record instanceof LogRecord.JobAccepted accepted) {
            submitting.remove(accepted.job().id());
            fold.job(accepted.job().id()).ifPresent(job -> desk.jobChanged(job, effects::add));
        }
        if (record instanceof LogRecord.JobCancelled cancelled) {
            NodeReply reply = fold.job(cancelled.job())
                    .map(job -> (NodeReply) new NodeReply.Job(job))
                    .orElse(new NodeReply.UnknownJob());
            desk.recordRead(envelope.id(), reply, effects::add);
        }
        if (documentChanges.remove(envelope.id())) {
            answerDocumentChange(envelope, refused);
        }
        if (refused.isPresent()) {
            effects.add(new NodeEffect.Report(new NodeEvent.OwnRecordVoid(envelope.id(), refused.get())));
            owner.recordRead(record, false);
        }
    }

    private void answerDocumentChange(Envelope envelope, Optional<VoidCode> refused) {
        int version = fold.document()
                .inForce()
                .map(DocumentFold.VersionInForce::version)
                .orElse(0);
        Optional<DocumentFold.Refusal> refusal = refused.isPresent() ? fold.lastDocumentRefusal() : Optional.empty();
        desk.recordRead(envelope.id(), new NodeReply.DocumentJudged(version, refusal), effects::add);
    }

    private void followOwner(long nowMs) {
        CellEntry cell = fold.cell(settings.cell());
        if (cell.lastHeardOffset() != ownerHeardOffset) {
            ownerHeardOffset = cell.lastHeardOffset();
            ownerHeardMs = nowMs;
        }
        boolean mine = cell.ownedBy(settings.node(), cell.epoch());
        if (mine && cell.epoch() != ownedEpoch) {
            ownedEpoch = cell.epoch();
            effects.add(new NodeEffect.Report(new NodeEvent.CellTaken(settings.cell(), ownedEpoch)));
            owner.take(cell, nowMs);
            return;
        }
        if (mine) {
            owner.held(cell.heldMs());
        }
        if (!mine && ownedEpoch > 0) {
            ownedEpoch = 0;
            effects.add(new NodeEffect.Report(new NodeEvent.CellLost(settings.cell(), cell.epoch())));
            owner.drop();
            snapshots.drop();
        }
    }

    private void followDocument(long nowMs) {
        int version = fold.document()
                .inForce()
                .map(DocumentFold.VersionInForce::version)
                .orElse(0);
        if (version <= documentVersion) {
            return;
        }
        documentVersion = version;
        effects.add(new NodeEffect.Report(new NodeEvent.DocumentInForce(version)));
        owner.documentChanged(nowMs);
    }

    /** Adopts a peer's document only while the log cannot be read; otherwise the order of the log's records decides. */
    private void peerDocumentReceived(DocumentFold.DocumentCopy copy, long nowMs) {
        if (nowMs - endReachedMs <= READ_FRESH_MS || copy.version() <= documentVersion) {
            return;
        }
        if (fold.document().adopt(copy)) {
            followDocument(nowMs);
        }
    }

    private void endReached(long nowMs) {
        if (recovery.isPresent()) {
            return;
        }
        if (nowMs - endReachedMs > READ_FRESH_MS) {
            ownerHeardMs = nowMs;
        }
        endReachedMs = nowMs;
        owner.readToEnd(nowMs);
    }

    private void tick(long nowMs) {
        owner.tick(nowMs);
        if (owner.active() && !draining) {
            snapshots.tick(fold, nowMs);
        }
        desk.expire(nowMs, job -> fold.job(job).orElse(null), effects::add);
        competeForCell(nowMs);
        if (draining) {
            finishDrain();
        }
    }

    private void competeForCell(long nowMs) {
        CellEntry cell = fold.cell(settings.cell());
        if (ownedEpoch > 0) {
            hold(nowMs);
            return;
        }
        boolean caughtUp = nowMs - endReachedMs <= READ_FRESH_MS;
        if (draining || claimPending || !caughtUp) {
            return;
        }
        long patienceMs = cell.owner().isPresent() ? settings.ownerTimeoutMs() : 0;
        if (nowMs - ownerHeardMs < patienceMs + settings.claimRank() * settings.heartbeatIntervalMs()) {
            return;
        }
        claimPending = true;
        appender.add(new LogRecord.CellClaimed(settings.cell(), settings.node(), cell.epoch() + 1), nowMs);
    }

    private void hold(long nowMs) {
        if (holdPending || releasePending || nowMs - heldMs < settings.heartbeatIntervalMs()) {
            return;
        }
        holdPending = true;
        heldMs = nowMs;
        appender.add(new LogRecord.CellHeld(settings.cell(), ownedEpoch), nowMs);
    }

    private void submit(NodeInput.JobSubmit submit, long nowMs) {
        JobSpec job = submit.job();
        Optional<JobEntry> known = fold.job(job.id());
        if (known.isPresent()) {
            answerKnown(submit, known.get(), nowMs);
            return;
        }
        Optional<NodeReply.Refused> refusal = refuse(job, nowMs);
        if (refusal.isPresent() && submitting.contains(job.id())) {
            reply(submit.requestId(), new NodeReply.Pending());
            return;
        }
        if (refusal.isPresent()) {
            effects.add(new NodeEffect.Reply(submit.requestId(), refusal.get()));
            return;
        }
        boolean outcome = submit.waitMs() > 0;
        long untilMs = nowMs + Math.max(submit.waitMs(), ACCEPT_TIMEOUT_MS);
        String digest = Sha256.hex(submit.payload());
        desk.awaitJob(submit.requestId(), job.id(), untilMs, outcome, entry -> entry.matches(job, digest));
        if (submitting.add(job.id())) {
            appender.add(new LogRecord.JobAccepted(settings.cell(), job, submit.payload()), nowMs);
        }
    }

    private void answerKnown(NodeInput.JobSubmit submit, JobEntry known, long nowMs) {
        if (!known.matches(submit.job(), Sha256.hex(submit.payload()))) {
            reply(submit.requestId(), refused(NodeReply.RefusalCode.KEY_REUSED));
            return;
        }
        answerOrWait(submit.requestId(), known, submit.waitMs(), job -> true, nowMs);
    }

    private void lookup(NodeInput.JobLookup lookup, long nowMs) {
        Optional<JobEntry> known = fold.job(lookup.job());
        if (known.isPresent()) {
            answerOrWait(lookup.requestId(), known.get(), lookup.waitMs(), job -> true, nowMs);
            return;
        }
        boolean fresh = nowMs - endReachedMs <= READ_FRESH_MS;
        boolean unsure = !fresh || submitting.contains(lookup.job());
        reply(lookup.requestId(), unsure ? new NodeReply.Pending() : new NodeReply.UnknownJob());
    }

    private void answerOrWait(long requestId, JobEntry job, long waitMs, Predicate<JobEntry> sameJob, long nowMs) {
        if (job.status() == JobStatus.FINISHED || waitMs <= 0 || draining) {
            reply(requestId, new NodeReply.Job(job));
            return;
        }
        desk.awaitJob(requestId, job.spec().id(), nowMs + waitMs, true, sameJob);
    }

    private void cancel(NodeInput.JobCancel cancel, long nowMs) {
        Optional<JobEntry> known = fold.job(cancel.job());
        if (known.isEmpty()) {
            reply(cancel.requestId(), new NodeReply.UnknownJob());
            return;
        }
        if (known.get().status() == JobStatus.FINISHED || known.get().cancelled()) {
            reply(cancel.requestId(), new NodeReply.Job(known.get()));
            return;
        }
        if (logDown(nowMs)) {
            reply(cancel.requestId(), logUnavailable());
            return;
        }
        RecordId id = appender.add(new LogRecord.JobCancelled(cancel.job()), nowMs);
        desk.awaitRecord(cancel.requestId(), id, nowMs + ACCEPT_TIMEOUT_MS);
    }

    private void changeDocument(NodeInput.DocumentChange change, long nowMs) {
        if (draining) {
            reply(change.requestId(), refused(NodeReply.RefusalCode.DRAINING));
            return;
        }
        if (logDown(nowMs)) {
            reply(change.requestId(), logUnavailable());
            return;
        }
        RecordId id = appender.add(change.record(), nowMs);
        documentChanges.add(id);
        desk.awaitRecord(change.requestId(), id, nowMs + ACCEPT_TIMEOUT_MS);
    }

    private Optional<NodeReply.Refused> refuse(JobSpec job, long nowMs) {
        if (draining) {
            return Optional.of(refused(NodeReply.RefusalCode.DRAINING));
        }
        if (endReachedMs < 0) {
            return Optional.of(new NodeReply.Refused(NodeReply.RefusalCode.NOT_READY, OptionalLong.of(1000)));
        }
        if (logDown(nowMs)) {
            return Optional.of(logUnavailable());
        }
        Optional<DocumentFold.VersionInForce> document = fold.document().inForce();
        if (document.isEmpty()) {
            return Optional.of(refused(NodeReply.RefusalCode.NO_DOCUMENT));
        }
        if (!document.get().policy().workspaces().containsKey(job.workspace())) {
            return Optional.of(refused(NodeReply.RefusalCode.UNKNOWN_WORKSPACE));
        }
        if (appender.pending() >= settings.maxPendingRecords()) {
            return Optional.of(new NodeReply.Refused(NodeReply.RefusalCode.OVERLOADED, OptionalLong.of(1000)));
        }
        boolean late = job.deadlineMs().isPresent() && job.deadlineMs().getAsLong() <= nowMs;
        if (late || (!job.idempotent() && job.deadlineMs().isEmpty())) {
            return Optional.of(refused(NodeReply.RefusalCode.DEADLINE));
        }
        return Optional.empty();
    }

    private void drain(long nowMs) {
        if (draining) {
            return;
        }
        draining = true;
        if (ownedEpoch > 0) {
            releasePending = true;
            owner.handOver(nowMs);
            appender.add(new LogRecord.CellReleased(settings.cell(), ownedEpoch), nowMs);
        }
        desk.answerAccepted(job -> fold.job(job).orElse(null), effects::add);
    }

    private void finishDrain() {
        desk.answerAccepted(job -> fold.job(job).orElse(null), effects::add);
        if (drained || releasePending || desk.open() > 0 || appender.pending() > 0) {
            return;
        }
        drained = true;
        effects.add(new NodeEffect.Drained());
    }

    /**
     * Returns whether appends have been failing, or reads have not reached the end of the log, for so long that an
     * appended record would not be read back soon.
     */
    private boolean logDown(long nowMs) {
        boolean unread = endReachedMs >= 0 && nowMs - endReachedMs > LOG_DOWN_AFTER_MS;
        return unread || appender.failingForMs(nowMs) > LOG_DOWN_AFTER_MS;
    }

    private static NodeReply.Refused logUnavailable() {
        return new NodeReply.Refused(NodeReply.RefusalCode.LOG_UNAVAILABLE, OptionalLong.of(LOG_RETRY_MS));
    }

    private static NodeReply.Refused refused(NodeReply.RefusalCode code) {
        return new NodeReply.Refused(code, OptionalLong.empty());
    }

    private void reply(long requestId, NodeReply reply) {
        effects.add(new NodeEffect.Reply(requestId, reply));
    }

    private boolean actsBeforeReadBack(LogRecord record) {
        boolean act = record instanceof LogRecord.AttemptPlaced || record instanceof LogRecord.AttemptReleased;
        return act && !settings.features().contains(ProtocolFeature.READ_BACK);
    }

    private boolean inCell(JobEntry job) {
        return job.cell().equals(settings.cell());
    }

    private static Optional<JobId> jobOf(LogRecord record) {
        if (record instanceof LogRecord.JobAccepted accepted) {
            return Optional.of(accepted.job().id());
        }
        if (record instanceof LogRecord.JobCancelled cancelled) {
            return Optional.of(cancelled.job());
        }
        if (record instanceof LogRecord.AttemptPlaced placed) {
            return Optional.of(placed.attempt().job());
        }
        if (record instanceof LogRecord.AttemptReleased released) {
            return Optional.of(released.attempt().job());
        }
        if (record instanceof LogRecord.AttemptEnded ended) {
            return Optional.of(ended.attempt().job());
        }
        if (record instanceof LogRecord.JobFinished finished) {
            return Optional.of(finished.job());
        }
        return Optional.empty();
    }

    private final class MachineOutlet implements Outlet {

        @Override
        public RecordId append(LogRecord record, long nowMs) {
            RecordId id = appender.add(record, nowMs);
            if (actsBeforeReadBack(record)) {
                owner.recordApplied(record, nowMs);
            }
            return id;
        }

        @Override
        public void emit(NodeEffect effect) {
            if (effect instanceof NodeEffect.Command command && !pacer.admit(command, inputMs)) {
                return;
            }
            effects.add(effect);
        }
    }
}

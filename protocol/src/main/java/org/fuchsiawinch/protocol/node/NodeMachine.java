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
import org.fuchsiawinch.protocol.node.internal.CommandRateLimiter;
import org.fuchsiawinch.protocol.node.internal.LogGapRecovery;
import org.fuchsiawinch.protocol.node.internal.NodeOutput;
import org.fuchsiawinch.protocol.node.internal.PendingRequests;
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

    /** Time after which a request is answered even if its record has not been read back. */
    private static final long ACCEPT_TIMEOUT_MS = 5000;

    private static final long LOG_UNAVAILABLE_AFTER_MS = 2000;
    private static final long LOG_UNAVAILABLE_RETRY_MS = 5000;
    private static final long NOT_READY_RETRY_MS = 1000;
    private static final long OVERLOADED_RETRY_MS = 1000;
    /** Time after a read of the log's end during which this node counts as caught up. */
    private static final long MAX_READ_AGE_MS = 1500;
    /** Time without any input, even a tick, after which the process counts as having been paused. */
    private static final long PAUSE_THRESHOLD_MS = 2000;
    /** Differs from every offset that a cell can have, -1 included, so that the first one read counts as a change. */
    private static final long NO_OFFSET = -2;

    private final NodeSettings settings;
    private final Supplier<DocumentFold> documentFolds;
    private final Appender appender;
    private final CommandRateLimiter rateLimiter;
    private final PendingRequests requests = new PendingRequests();
    private final CellOwner owner;
    private final Set<JobId> pendingSubmissions = new HashSet<>();
    private final Set<RecordId> pendingDocumentChanges = new HashSet<>();
    private final SnapshotWriter snapshots;
    private LogFold fold;
    private Optional<LogGapRecovery> recovery = Optional.empty();
    private List<NodeEffect> effects = new ArrayList<>();
    private long lastInputMs;
    private long logEndReadMs = Long.MIN_VALUE / 2; // halved so that the difference to a time does not overflow
    private long ownerHeartbeatReadMs;
    private long ownerHeartbeatOffset = NO_OFFSET;
    private long ownedEpoch;
    private boolean claimPending;
    private boolean heartbeatPending;
    private boolean releasePending;
    private long lastHeartbeatMs;
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
     * @param documentFolds creates the fold of the document records, at the start and again after a gap in the log
     * @param schedulers creates a scheduler each time this node takes over the cell
     */
    public NodeMachine(NodeSettings settings, Supplier<DocumentFold> documentFolds, Supplier<Scheduler> schedulers) {
        this.settings = settings;
        this.documentFolds = documentFolds;
        this.fold = new LogFold(documentFolds.get(), settings.features());
        this.snapshots = new SnapshotWriter(settings, new MachineOutput());
        this.appender = new Appender(settings.node(), settings.maxBatchRecords());
        this.rateLimiter = new CommandRateLimiter(settings.renewIntervalMs() / 2);
        this.owner = new CellOwner(settings, schedulers, this::fold, new MachineOutput());
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
        if (nowMs - lastInputMs > PAUSE_THRESHOLD_MS) {
            owner.resumedAfterPause(nowMs);
        }
        lastInputMs = nowMs;
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
        return nowMs - logEndReadMs <= MAX_READ_AGE_MS;
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
            recordRead(read, nowMs);
        } else if (input instanceof NodeInput.LogGap gap) {
            logGapFound(gap.firstOffset());
        } else if (input instanceof NodeInput.LogEndReached) {
            logEndReached(nowMs);
        } else if (input instanceof NodeInput.PeerDocumentReceived received) {
            peerDocumentReceived(received.copy(), nowMs);
        } else if (input instanceof NodeInput.AppendDone done) {
            appender.done(done.firstSequence());
        } else if (input instanceof NodeInput.AppendFailed failed) {
            appender.failed(failed.firstSequence(), nowMs);
        } else if (input instanceof NodeInput.WorkersListed workers) {
            owner.workersListed(workers.workers(), workers.leaving(), nowMs);
        } else if (input instanceof NodeInput.WorkerReplied replied) {
            owner.workerReplied(replied.worker(), replied.epoch(), replied.reply(), nowMs);
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

    private void recordRead(NodeInput.RecordRead read, long nowMs) {
        if (recovery.isEmpty()) {
            applyRecord(read.offset(), read.envelope(), nowMs);
            return;
        }
        Optional<SnapshotAssembler.CompleteSnapshot> snapshot = recovery.get().add(read);
        if (snapshot.isEmpty()) {
            return;
        }
        long upToOffset = snapshot.get().done().upToOffset();
        List<NodeInput.RecordRead> tail = recovery.get().recordsFrom(upToOffset);
        recovery = Optional.empty();
        fold.load(snapshot.get());
        effects.add(new NodeEffect.Report(
                new NodeEvent.SnapshotLoaded(upToOffset, fold.jobs().size())));
        updateOwnership(nowMs);
        updateDocument(nowMs);
        List.copyOf(fold.jobs()).forEach(job -> requests.jobChanged(job, effects::add));
        tail.forEach(record -> applyRecord(record.offset(), record.envelope(), nowMs));
    }

    private void logGapFound(long firstOffset) {
        if (firstOffset <= fold.nextOffset()) {
            return;
        }
        effects.add(new NodeEffect.Report(new NodeEvent.LogGapFound(fold.nextOffset(), firstOffset)));
        recovery = Optional.of(new LogGapRecovery(firstOffset));
        fold = new LogFold(documentFolds.get(), settings.features());
        logEndReadMs = Long.MIN_VALUE / 2;
        ownedEpoch = 0;
        ownerHeartbeatOffset = NO_OFFSET;
        claimPending = false;
        heartbeatPending = false;
        owner.endOwnership();
        snapshots.abort();
    }

    private void applyRecord(long offset, Envelope envelope, long nowMs) {
        if (offset < fold.nextOffset()) {
            return;
        }
        Optional<VoidCode> voidCode = fold.apply(offset, envelope);
        boolean own = envelope.id().writer().equals(settings.node());
        LogRecord record = envelope.record();
        if (own) {
            handleOwnRecord(envelope, voidCode, nowMs);
        }
        if (voidCode.isPresent()) {
            return;
        }
        updateOwnership(nowMs);
        updateDocument(nowMs);
        jobOf(record).flatMap(fold::job).ifPresent(job -> requests.jobChanged(job, effects::add));
        if (own && actsBeforeReadBack(record)) {
            return;
        }
        if (jobOf(record).flatMap(fold::job).filter(this::belongsToCell).isPresent()) {
            owner.recordRead(record, true);
        }
    }

    private void handleOwnRecord(Envelope envelope, Optional<VoidCode> voidCode, long nowMs) {
        appender.readBack(envelope.id().sequence());
        LogRecord record = envelope.record();
        if (voidCode.filter(VoidCode.DUPLICATE_RECORD::equals).isPresent()) {
            return;
        }
        if (record instanceof LogRecord.CellClaimed) {
            claimPending = false;
        } else if (record instanceof LogRecord.CellHeld) {
            heartbeatPending = false;
        } else if (record instanceof LogRecord.CellReleased) {
            releasePending = false;
        } else if (record instanceof LogRecord.SnapshotDone) {
            snapshots.endRecordReadBack();
        } else if (record instanceof LogRecord.JobAccepted accepted) {
            pendingSubmissions.remove(accepted.job().id());
            fold.job(accepted.job().id()).ifPresent(job -> requests.jobChanged(job, effects::add));
        }
        if (record instanceof LogRecord.JobCancelled cancelled) {
            NodeReply reply = fold.job(cancelled.job())
                    .map(job -> (NodeReply) new NodeReply.Job(job))
                    .orElse(new NodeReply.UnknownJob());
            requests.recordReadBack(envelope.id(), reply, effects::add);
        }
        if (pendingDocumentChanges.remove(envelope.id())) {
            answerDocumentChange(envelope, voidCode);
        }
        if (voidCode.isPresent()) {
            effects.add(new NodeEffect.Report(new NodeEvent.OwnRecordVoid(envelope.id(), voidCode.get())));
            owner.recordRead(record, false);
        }
    }

    private void answerDocumentChange(Envelope envelope, Optional<VoidCode> voidCode) {
        int version = fold.document()
                .inForce()
                .map(DocumentFold.VersionInForce::version)
                .orElse(0);
        Optional<DocumentFold.Refusal> refusal = voidCode.isPresent() ? fold.lastDocumentRefusal() : Optional.empty();
        requests.recordReadBack(envelope.id(), new NodeReply.DocumentJudged(version, refusal), effects::add);
    }

    private void updateOwnership(long nowMs) {
        CellEntry cell = fold.cell(settings.cell());
        if (cell.lastHeardOffset() != ownerHeartbeatOffset) {
            ownerHeartbeatOffset = cell.lastHeardOffset();
            ownerHeartbeatReadMs = nowMs;
        }
        boolean owned = cell.ownedBy(settings.node(), cell.epoch());
        if (owned && cell.epoch() != ownedEpoch) {
            ownedEpoch = cell.epoch();
            effects.add(new NodeEffect.Report(new NodeEvent.CellTaken(settings.cell(), ownedEpoch)));
            owner.beginOwnership(cell, nowMs);
            return;
        }
        if (owned) {
            owner.heartbeatReadBack(cell.heldMs());
        }
        if (!owned && ownedEpoch > 0) {
            ownedEpoch = 0;
            effects.add(new NodeEffect.Report(new NodeEvent.CellLost(settings.cell(), cell.epoch())));
            owner.endOwnership();
            snapshots.abort();
        }
    }

    private void updateDocument(long nowMs) {
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
        if (nowMs - logEndReadMs <= MAX_READ_AGE_MS || copy.version() <= documentVersion) {
            return;
        }
        if (fold.document().adopt(copy)) {
            updateDocument(nowMs);
        }
    }

    private void logEndReached(long nowMs) {
        if (recovery.isPresent()) {
            return;
        }
        if (nowMs - logEndReadMs > MAX_READ_AGE_MS) {
            // the owner may have written heartbeats while this node did not read, so its timeout starts again
            ownerHeartbeatReadMs = nowMs;
        }
        logEndReadMs = nowMs;
        owner.logEndReached(nowMs);
    }

    private void tick(long nowMs) {
        owner.tick(nowMs);
        if (owner.active() && !draining) {
            snapshots.tick(fold, nowMs);
        }
        requests.expire(nowMs, job -> fold.job(job).orElse(null), effects::add);
        claimOrKeepCell(nowMs);
        if (draining) {
            finishDrain();
        }
    }

    private void claimOrKeepCell(long nowMs) {
        CellEntry cell = fold.cell(settings.cell());
        if (ownedEpoch > 0) {
            appendHeartbeat(nowMs);
            return;
        }
        boolean caughtUp = nowMs - logEndReadMs <= MAX_READ_AGE_MS;
        if (draining || claimPending || !caughtUp) {
            return;
        }
        long timeoutMs = cell.owner().isPresent() ? settings.ownerTimeoutMs() : 0;
        if (nowMs - ownerHeartbeatReadMs < timeoutMs + settings.claimRank() * settings.heartbeatIntervalMs()) {
            return;
        }
        claimPending = true;
        appender.add(new LogRecord.CellClaimed(settings.cell(), settings.node(), cell.epoch() + 1), nowMs);
    }

    private void appendHeartbeat(long nowMs) {
        if (heartbeatPending || releasePending || nowMs - lastHeartbeatMs < settings.heartbeatIntervalMs()) {
            return;
        }
        heartbeatPending = true;
        lastHeartbeatMs = nowMs;
        appender.add(new LogRecord.CellHeld(settings.cell(), ownedEpoch), nowMs);
    }

    private void submit(NodeInput.JobSubmit submit, long nowMs) {
        JobSpec job = submit.job();
        Optional<JobEntry> known = fold.job(job.id());
        if (known.isPresent()) {
            answerKnownJob(submit, known.get(), nowMs);
            return;
        }
        Optional<NodeReply.Refused> refusal = checkSubmission(job, nowMs);
        if (refusal.isPresent() && pendingSubmissions.contains(job.id())) {
            reply(submit.requestId(), new NodeReply.Pending());
            return;
        }
        if (refusal.isPresent()) {
            effects.add(new NodeEffect.Reply(submit.requestId(), refusal.get()));
            return;
        }
        boolean awaitsOutcome = submit.waitMs() > 0;
        long untilMs = nowMs + Math.max(submit.waitMs(), ACCEPT_TIMEOUT_MS);
        String digest = Sha256.hex(submit.payload());
        requests.awaitJob(submit.requestId(), job.id(), untilMs, awaitsOutcome, entry -> entry.matches(job, digest));
        if (pendingSubmissions.add(job.id())) {
            appender.add(new LogRecord.JobAccepted(settings.cell(), job, submit.payload()), nowMs);
        }
    }

    private void answerKnownJob(NodeInput.JobSubmit submit, JobEntry known, long nowMs) {
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
        boolean readRecently = nowMs - logEndReadMs <= MAX_READ_AGE_MS;
        boolean mayExist = !readRecently || pendingSubmissions.contains(lookup.job());
        reply(lookup.requestId(), mayExist ? new NodeReply.Pending() : new NodeReply.UnknownJob());
    }

    private void answerOrWait(long requestId, JobEntry job, long waitMs, Predicate<JobEntry> sameJob, long nowMs) {
        if (job.status() == JobStatus.FINISHED || waitMs <= 0 || draining) {
            reply(requestId, new NodeReply.Job(job));
            return;
        }
        requests.awaitJob(requestId, job.spec().id(), nowMs + waitMs, true, sameJob);
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
        if (isLogUnavailable(nowMs)) {
            reply(cancel.requestId(), logUnavailable());
            return;
        }
        RecordId id = appender.add(new LogRecord.JobCancelled(cancel.job()), nowMs);
        requests.awaitRecord(cancel.requestId(), id, nowMs + ACCEPT_TIMEOUT_MS);
    }

    private void changeDocument(NodeInput.DocumentChange change, long nowMs) {
        if (draining) {
            reply(change.requestId(), refused(NodeReply.RefusalCode.DRAINING));
            return;
        }
        if (isLogUnavailable(nowMs)) {
            reply(change.requestId(), logUnavailable());
            return;
        }
        RecordId id = appender.add(change.record(), nowMs);
        pendingDocumentChanges.add(id);
        requests.awaitRecord(change.requestId(), id, nowMs + ACCEPT_TIMEOUT_MS);
    }

    private Optional<NodeReply.Refused> checkSubmission(JobSpec job, long nowMs) {
        if (draining) {
            return Optional.of(refused(NodeReply.RefusalCode.DRAINING));
        }
        if (logEndReadMs < 0) {
            return Optional.of(
                    new NodeReply.Refused(NodeReply.RefusalCode.NOT_READY, OptionalLong.of(NOT_READY_RETRY_MS)));
        }
        if (isLogUnavailable(nowMs)) {
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
            return Optional.of(
                    new NodeReply.Refused(NodeReply.RefusalCode.OVERLOADED, OptionalLong.of(OVERLOADED_RETRY_MS)));
        }
        boolean pastDeadline = job.deadlineMs().isPresent() && job.deadlineMs().getAsLong() <= nowMs;
        if (pastDeadline || (!job.idempotent() && job.deadlineMs().isEmpty())) {
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
            owner.beginRelease(nowMs);
            appender.add(new LogRecord.CellReleased(settings.cell(), ownedEpoch), nowMs);
        }
        requests.answerAccepted(job -> fold.job(job).orElse(null), effects::add);
    }

    private void finishDrain() {
        requests.answerAccepted(job -> fold.job(job).orElse(null), effects::add);
        if (drained || releasePending || requests.size() > 0 || appender.pending() > 0) {
            return;
        }
        drained = true;
        effects.add(new NodeEffect.Drained());
    }

    /**
     * Returns whether appends have been failing, or reads have not reached the end of the log, for so long that an
     * appended record would not be read back soon.
     */
    private boolean isLogUnavailable(long nowMs) {
        boolean readsStale = logEndReadMs >= 0 && nowMs - logEndReadMs > LOG_UNAVAILABLE_AFTER_MS;
        return readsStale || appender.failingForMs(nowMs) > LOG_UNAVAILABLE_AFTER_MS;
    }

    private static NodeReply.Refused logUnavailable() {
        return new NodeReply.Refused(NodeReply.RefusalCode.LOG_UNAVAILABLE, OptionalLong.of(LOG_UNAVAILABLE_RETRY_MS));
    }

    private static NodeReply.Refused refused(NodeReply.RefusalCode code) {
        return new NodeReply.Refused(code, OptionalLong.empty());
    }

    private void reply(long requestId, NodeReply reply) {
        effects.add(new NodeEffect.Reply(requestId, reply));
    }

    /** Returns whether this node acts on its record when appending it, which it does only with READ_BACK disabled. */
    private boolean actsBeforeReadBack(LogRecord record) {
        boolean placesOrReleases =
                record instanceof LogRecord.AttemptPlaced || record instanceof LogRecord.AttemptReleased;
        return placesOrReleases && !settings.features().contains(ProtocolFeature.READ_BACK);
    }

    private boolean belongsToCell(JobEntry job) {
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

    private final class MachineOutput implements NodeOutput {

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
            if (effect instanceof NodeEffect.Command command && !rateLimiter.admit(command, lastInputMs)) {
                return;
            }
            effects.add(effect);
        }
    }
}

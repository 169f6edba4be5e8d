package org.fuchsiawinch.protocol.fold;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.protocol.ProtocolFeature;
import org.fuchsiawinch.protocol.record.AttemptEnd;
import org.fuchsiawinch.protocol.record.CellSnapshot;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.JobOutcome;
import org.fuchsiawinch.protocol.record.JobSnapshot;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.record.WriterSnapshot;

/**
 * State that every node derives from the log, record by record. Deterministic: two nodes that have applied the same
 * records have the same state. Not thread-safe; a single thread must own an instance.
 */
public final class LogFold {

    /** Time after a writer's last record during which it may still append duplicates and is kept in snapshots. */
    private static final long WRITER_RETENTION_MS = 24 * 3_600_000L;

    private final DocumentFold document;
    private final boolean deduplicates;
    private final Map<NodeId, WriterSnapshot> writers = new HashMap<>();
    private final SnapshotAssembler snapshots = new SnapshotAssembler();
    private final FinishedJobRetention retention = new FinishedJobRetention();
    private final Map<CellId, CellEntry> cells = new HashMap<>();
    private final Map<JobId, JobEntry> jobs = new LinkedHashMap<>();
    private Optional<DocumentFold.Refusal> lastDocumentRefusal = Optional.empty();
    private long nextOffset;
    private long logTimeMs;
    private long lastSnapshotMs;

    /**
     * Creates the state before the first record.
     *
     * @param document fold of the document records
     */
    public LogFold(DocumentFold document) {
        this(document, ProtocolFeature.defaults());
    }

    /**
     * Creates the state before the first record.
     *
     * @param document fold of the document records
     * @param features enabled safety mechanisms
     */
    public LogFold(DocumentFold document, Set<ProtocolFeature> features) {
        this.document = document;
        this.deduplicates = features.contains(ProtocolFeature.DEDUPLICATION);
    }

    /**
     * Applies the next record.
     *
     * @param offset offset of the record
     * @param envelope the record
     * @return the reason why the record is void, or empty if it took effect
     */
    public Optional<VoidCode> apply(long offset, Envelope envelope) {
        nextOffset = offset + 1;
        NodeId writer = envelope.id().writer();
        WriterSnapshot last = writers.get(writer);
        if (deduplicates && last != null && envelope.id().sequence() <= last.lastSequence()) {
            return Optional.of(VoidCode.DUPLICATE_RECORD);
        }
        writers.put(writer, new WriterSnapshot(writer, envelope.id().sequence(), envelope.writtenMs()));
        logTimeMs = Math.max(logTimeMs, envelope.writtenMs());
        retention.removeExpired(logTimeMs).forEach(jobs::remove);
        return applyRecord(offset, envelope);
    }

    /**
     * Loads the state of a snapshot in place of the records that the snapshot includes. May be called only before the
     * first record is applied.
     *
     * @param snapshot the complete snapshot
     */
    public void load(SnapshotAssembler.CompleteSnapshot snapshot) {
        LogRecord.SnapshotDone done = snapshot.done();
        nextOffset = done.upToOffset();
        logTimeMs = done.logTimeMs();
        if (done.documentVersion() > 0) {
            document.apply(
                    done.upToOffset() - 1,
                    new LogRecord.DocumentRepublished(done.documentVersion(), done.documentText()));
        }
        for (LogRecord.SnapshotChunk chunk : snapshot.chunks()) {
            chunk.writers().forEach(writer -> writers.put(writer.writer(), writer));
            chunk.cells().forEach(cell -> cells.put(cell.cell(), CellEntry.of(cell)));
            chunk.jobs().forEach(job -> loadJob(JobEntry.of(job)));
        }
    }

    /**
     * Returns the current state as the records of a snapshot.
     *
     * @param number number of the snapshot, unique for its writer
     * @param chunkBytes largest estimated size in bytes of a chunk; a chunk exceeds it only if its first job does
     * @return the chunks of the snapshot, followed by its {@code SnapshotDone} record
     */
    public List<LogRecord> snapshot(long number, int chunkBytes) {
        List<LogRecord> records = new ArrayList<>();
        List<WriterSnapshot> recentWriters = writers.values().stream()
                .filter(writer -> writer.lastMs() + WRITER_RETENTION_MS > logTimeMs)
                .sorted(Comparator.comparing(writer -> writer.writer().value()))
                .toList();
        List<CellSnapshot> allCells = cells.entrySet().stream()
                .map(entry -> entry.getValue().snapshot(entry.getKey()))
                .sorted(Comparator.comparing(cell -> cell.cell().value()))
                .toList();
        records.add(new LogRecord.SnapshotChunk(number, 0, recentWriters, allCells, List.of()));
        List<JobSnapshot> chunkJobs = new ArrayList<>();
        int bytes = 0;
        for (JobEntry job : jobs.values()) {
            JobSnapshot next = job.snapshot();
            if (!chunkJobs.isEmpty() && bytes + next.estimatedBytes() > chunkBytes) {
                records.add(new LogRecord.SnapshotChunk(number, records.size(), List.of(), List.of(), chunkJobs));
                chunkJobs = new ArrayList<>();
                bytes = 0;
            }
            chunkJobs.add(next);
            bytes += next.estimatedBytes();
        }
        if (!chunkJobs.isEmpty()) {
            records.add(new LogRecord.SnapshotChunk(number, records.size(), List.of(), List.of(), chunkJobs));
        }
        int version =
                document.inForce().map(DocumentFold.VersionInForce::version).orElse(0);
        String text = document.inForce().map(DocumentFold.VersionInForce::text).orElse("");
        records.add(new LogRecord.SnapshotDone(number, records.size(), nextOffset, logTimeMs, version, text));
        return records;
    }

    /**
     * Returns when the last complete snapshot ended.
     *
     * @return its writer's Unix time in ms; 0 if none was applied
     */
    public long lastSnapshotMs() {
        return lastSnapshotMs;
    }

    /**
     * Returns the latest time of writing among the applied records.
     *
     * @return Unix time in ms; 0 before the first record
     */
    public long logTimeMs() {
        return logTimeMs;
    }

    /**
     * Returns the offset of the next record to apply.
     *
     * @return the offset
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the fold of the document records.
     *
     * @return the document fold
     */
    public DocumentFold document() {
        return document;
    }

    /**
     * Returns why the last document record was refused.
     *
     * @return the refusal, or empty if the record took effect or changed nothing, or if none was applied
     */
    public Optional<DocumentFold.Refusal> lastDocumentRefusal() {
        return lastDocumentRefusal;
    }

    /**
     * Returns the job with the given id.
     *
     * @param job the job
     * @return its entry, or empty if the job is not known or was dropped after its retention
     */
    public Optional<JobEntry> job(JobId job) {
        return Optional.ofNullable(jobs.get(job));
    }

    /**
     * Returns all known jobs in order of acceptance.
     *
     * @return an unmodifiable view
     */
    public Collection<JobEntry> jobs() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    /**
     * Returns the state of a cell.
     *
     * @param cell the cell
     * @return its entry
     */
    public CellEntry cell(CellId cell) {
        return cells.getOrDefault(cell, CellEntry.UNCLAIMED);
    }

    private Optional<VoidCode> applyRecord(long offset, Envelope envelope) {
        LogRecord record = envelope.record();
        NodeId writer = envelope.id().writer();
        long nowMs = envelope.writtenMs();
        if (record instanceof LogRecord.CellClaimed claimed) {
            return claim(offset, writer, claimed, nowMs);
        }
        if (record instanceof LogRecord.CellHeld held) {
            return heartbeat(offset, writer, held, nowMs);
        }
        if (record instanceof LogRecord.CellReleased released) {
            return release(writer, released, nowMs);
        }
        if (record instanceof LogRecord.JobAccepted accepted) {
            return accept(accepted, nowMs);
        }
        if (record instanceof LogRecord.JobCancelled cancelled) {
            return cancel(cancelled);
        }
        if (record instanceof LogRecord.AttemptPlaced placed) {
            return place(writer, placed, nowMs);
        }
        if (record instanceof LogRecord.AttemptReleased released) {
            return releaseAttempt(writer, released);
        }
        if (record instanceof LogRecord.AttemptEnded ended) {
            return endAttempt(writer, ended);
        }
        if (record instanceof LogRecord.JobFinished finished) {
            return finish(writer, finished, nowMs);
        }
        if (record instanceof LogRecord.SnapshotChunk chunk) {
            snapshots.add(writer, chunk);
            return Optional.empty();
        }
        if (record instanceof LogRecord.SnapshotDone done) {
            return finishSnapshot(writer, done, nowMs);
        }
        if (record instanceof LogRecord.Unrecognised) {
            return Optional.of(VoidCode.UNRECOGNISED);
        }
        lastDocumentRefusal = document.apply(offset, record);
        return lastDocumentRefusal.map(refusal -> VoidCode.DOCUMENT_REFUSED);
    }

    private Optional<VoidCode> finishSnapshot(NodeId writer, LogRecord.SnapshotDone done, long nowMs) {
        if (snapshots.finish(writer, done).isEmpty()) {
            return Optional.of(VoidCode.INCOMPLETE_SNAPSHOT);
        }
        lastSnapshotMs = nowMs;
        return Optional.empty();
    }

    private void loadJob(JobEntry job) {
        jobs.put(job.spec().id(), job);
        if (job.status() == JobStatus.FINISHED) {
            retention.add(job);
        }
    }

    private Optional<VoidCode> claim(long offset, NodeId writer, LogRecord.CellClaimed claimed, long nowMs) {
        CellEntry cell = cell(claimed.cell());
        if (claimed.epoch() != cell.epoch() + 1 || !writer.equals(claimed.owner())) {
            return Optional.of(VoidCode.STALE_EPOCH);
        }
        cells.put(claimed.cell(), cell.withClaim(claimed.epoch(), writer, offset, nowMs));
        return Optional.empty();
    }

    private Optional<VoidCode> heartbeat(long offset, NodeId writer, LogRecord.CellHeld held, long nowMs) {
        CellEntry cell = cell(held.cell());
        if (!cell.ownedBy(writer, held.epoch())) {
            return Optional.of(VoidCode.STALE_EPOCH);
        }
        cells.put(held.cell(), cell.withHeartbeat(offset, nowMs));
        return Optional.empty();
    }

    private Optional<VoidCode> release(NodeId writer, LogRecord.CellReleased released, long nowMs) {
        CellEntry cell = cell(released.cell());
        if (!cell.ownedBy(writer, released.epoch())) {
            return Optional.of(VoidCode.STALE_EPOCH);
        }
        cells.put(released.cell(), cell.withRelease(nowMs));
        return Optional.empty();
    }

    private Optional<VoidCode> accept(LogRecord.JobAccepted accepted, long nowMs) {
        JobId id = accepted.job().id();
        if (deduplicates && jobs.containsKey(id)) {
            return Optional.of(VoidCode.DUPLICATE_JOB);
        }
        OptionalLong deadlineMs = accepted.job().deadlineMs();
        boolean pastDeadline = deadlineMs.isPresent() && deadlineMs.getAsLong() <= logTimeMs;
        if (pastDeadline && !accepted.job().idempotent()) {
            return Optional.of(VoidCode.PAST_DEADLINE);
        }
        jobs.put(id, JobEntry.accepted(accepted.cell(), accepted.job(), accepted.payload(), nowMs));
        return Optional.empty();
    }

    private Optional<VoidCode> cancel(LogRecord.JobCancelled cancelled) {
        JobEntry job = jobs.get(cancelled.job());
        if (job == null) {
            return Optional.of(VoidCode.UNKNOWN_JOB);
        }
        if (job.status() == JobStatus.FINISHED || job.cancelled()) {
            return Optional.of(VoidCode.WRONG_STATUS);
        }
        jobs.put(cancelled.job(), job.withCancellation());
        return Optional.empty();
    }

    private Optional<VoidCode> place(NodeId writer, LogRecord.AttemptPlaced placed, long nowMs) {
        JobEntry job = jobs.get(placed.attempt().job());
        Optional<VoidCode> voidCode = checkOwner(writer, placed.cell(), placed.epoch(), job);
        if (voidCode.isPresent()) {
            return voidCode;
        }
        if (job.status() != JobStatus.WAITING) {
            return Optional.of(VoidCode.WRONG_STATUS);
        }
        if (!job.repeatable()) {
            return Optional.of(VoidCode.NOT_REPEATABLE);
        }
        if (placed.attempt().number() != job.attemptNumber() + 1) {
            return Optional.of(VoidCode.WRONG_ATTEMPT);
        }
        jobs.put(placed.attempt().job(), job.withPlacement(placed.placements(), placed.lent(), nowMs));
        return Optional.empty();
    }

    private Optional<VoidCode> releaseAttempt(NodeId writer, LogRecord.AttemptReleased released) {
        JobEntry job = jobs.get(released.attempt().job());
        Optional<VoidCode> voidCode = checkOwner(writer, released.cell(), released.epoch(), job);
        if (voidCode.isPresent()) {
            return voidCode;
        }
        if (job.status() != JobStatus.PLACED) {
            return Optional.of(VoidCode.WRONG_STATUS);
        }
        if (!released.attempt().equals(job.attempt())) {
            return Optional.of(VoidCode.WRONG_ATTEMPT);
        }
        jobs.put(released.attempt().job(), job.withRelease());
        return Optional.empty();
    }

    private Optional<VoidCode> endAttempt(NodeId writer, LogRecord.AttemptEnded ended) {
        JobEntry job = jobs.get(ended.attempt().job());
        Optional<VoidCode> voidCode = checkOwner(writer, ended.cell(), ended.epoch(), job);
        if (voidCode.isPresent()) {
            return voidCode;
        }
        if (job.status() != JobStatus.PLACED && job.status() != JobStatus.RELEASED) {
            return Optional.of(VoidCode.WRONG_STATUS);
        }
        if (!ended.attempt().equals(job.attempt())) {
            return Optional.of(VoidCode.WRONG_ATTEMPT);
        }
        jobs.put(ended.attempt().job(), job.withAttemptEnded(ended.end() == AttemptEnd.CHECKPOINTED));
        return Optional.empty();
    }

    private Optional<VoidCode> finish(NodeId writer, LogRecord.JobFinished finished, long nowMs) {
        JobEntry job = jobs.get(finished.job());
        Optional<VoidCode> voidCode = checkOwner(writer, finished.cell(), finished.epoch(), job);
        if (voidCode.isPresent()) {
            return voidCode;
        }
        if (job.status() == JobStatus.FINISHED) {
            return Optional.of(VoidCode.WRONG_STATUS);
        }
        boolean notRun = finished.outcome() instanceof JobOutcome.NotRun;
        if (notRun && (job.everReleased() || job.status() != JobStatus.WAITING)) {
            return Optional.of(VoidCode.WRONG_STATUS);
        }
        if (finished.outcome() instanceof JobOutcome.Completed && job.status() != JobStatus.RELEASED) {
            return Optional.of(VoidCode.WRONG_STATUS);
        }
        JobEntry ended = job.withOutcome(finished.outcome(), nowMs);
        jobs.put(finished.job(), ended);
        retention.add(ended);
        return Optional.empty();
    }

    private Optional<VoidCode> checkOwner(NodeId writer, CellId cell, long epoch, JobEntry job) {
        if (!cell(cell).ownedBy(writer, epoch)) {
            return Optional.of(VoidCode.STALE_EPOCH);
        }
        if (job == null || !job.cell().equals(cell)) {
            return Optional.of(VoidCode.UNKNOWN_JOB);
        }
        return Optional.empty();
    }
}

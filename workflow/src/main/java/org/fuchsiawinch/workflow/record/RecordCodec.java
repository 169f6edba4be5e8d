package org.fuchsiawinch.workflow.record;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.model.IllegalIdException;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.forecast.RunKind;
import org.fuchsiawinch.workflow.forecast.RunTimeModel;
import org.fuchsiawinch.workflow.job.JobPhase;
import org.fuchsiawinch.workflow.job.StepSpec;
import org.fuchsiawinch.workflow.job.Submission;
import org.fuchsiawinch.workflow.job.TaskPhase;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the values of a cell's records as MessagePack: a format version, then the fields in order of
 * declaration. Enum constants are written as ordinals, the flags of a step as one bit set, and learned run times as
 * 32-bit floats. Slots and connections of resources are not written, nor is what the key already holds; the value of a
 * {@link CellRecord.CancelRequested} for any workspace is the version alone. Thread-safe.
 */
public final class RecordCodec {

    private static final int VERSION = 1;

    /** Version of a cancellation that is limited to a workspace. Earlier releases skip it. */
    private static final int LIMITED_CANCELLATION_VERSION = 2;

    /** Largest valid epoch; leaves room for 2^32 rounds of claims, and for higher epochs after it. */
    private static final long MAX_EPOCH = 1L << 48;

    private static final int GANG_BIT = 1;
    private static final int SAME_RACK_BIT = 2;
    private static final int CHECKPOINTS_BIT = 4;

    private static final JobPhase[] JOB_PHASES = JobPhase.values();
    private static final TaskPhase[] TASK_PHASES = TaskPhase.values();

    /**
     * Encodes the value of a record.
     *
     * @param record the record
     * @return its value; of length 0 for {@link CellRecord.Removed}
     */
    public byte[] encode(CellRecord record) {
        if (record instanceof CellRecord.Removed) {
            return new byte[0];
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(version(record));
            if (record instanceof CellRecord.Accepted accepted) {
                packSubmission(packer, accepted.submission());
            } else if (record instanceof CellRecord.Progress progress) {
                packProgress(packer, progress);
            } else if (record instanceof CellRecord.LearnedRunTimes learned) {
                packLearned(packer, learned);
            } else if (record instanceof CellRecord.UnreachedWorkers unreached) {
                packUnreached(packer, unreached);
            } else if (record instanceof CellRecord.Owner owner) {
                packer.packString(owner.node()).packLong(owner.epoch()).packBoolean(owner.released());
                if (owner.countsFromSending()) {
                    packer.packBoolean(true).packLong(owner.termMs());
                }
            } else if (record instanceof CellRecord.CancelRequested request
                    && request.workspace().isPresent()) {
                packer.packString(request.workspace().get().value());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("failed to encode record " + record.key(), e);
        }
    }

    private static int version(CellRecord record) {
        boolean limited = record instanceof CellRecord.CancelRequested request
                && request.workspace().isPresent();
        return limited ? LIMITED_CANCELLATION_VERSION : VERSION;
    }

    /**
     * Decodes a record.
     *
     * @param key its key
     * @param value its value; of length 0 if the key was removed
     * @return the record
     * @throws RecordFormatException if the key is of no known type, or the value is truncated or malformed
     */
    public CellRecord decode(String key, byte[] value) {
        if (value.length == 0) {
            return new CellRecord.Removed(key);
        }
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
            int version = unpacker.unpackInt();
            boolean cancellation = key.startsWith(CellRecord.CancelRequested.PREFIX);
            if (version == LIMITED_CANCELLATION_VERSION && cancellation) {
                return new CellRecord.CancelRequested(
                        cancelledJob(key), Optional.of(new WorkspaceId(unpacker.unpackString())));
            }
            if (version != VERSION) {
                throw new RecordFormatException(
                        key, "unsupported format version " + version + ", expected " + VERSION, null);
            }
            return decodeBody(key, unpacker, value.length);
        } catch (IOException | MessagePackException | IndexOutOfBoundsException e) {
            throw new RecordFormatException(key, "malformed or truncated value of " + value.length + " bytes", e);
        } catch (IllegalArgumentException | IllegalIdException e) {
            throw new RecordFormatException(key, "invalid value: " + e.getMessage(), e);
        }
    }

    private static CellRecord decodeBody(String key, MessageUnpacker unpacker, int length) throws IOException {
        if (key.equals(CellRecord.OWNER_KEY)) {
            return unpackOwner(unpacker);
        }
        if (key.equals(CellRecord.LearnedRunTimes.KEY)) {
            return unpackLearned(unpacker);
        }
        if (key.equals(CellRecord.UnreachedWorkers.KEY)) {
            return unpackUnreached(unpacker);
        }
        if (key.startsWith(CellRecord.Accepted.PREFIX)) {
            Submission job = unpackSubmission(key.substring(CellRecord.Accepted.PREFIX.length()), unpacker, length);
            job.problem().ifPresent(problem -> {
                throw new IllegalArgumentException(problem);
            });
            return new CellRecord.Accepted(job);
        }
        if (key.startsWith(CellRecord.CancelRequested.PREFIX)) {
            return new CellRecord.CancelRequested(cancelledJob(key));
        }
        if (key.startsWith(CellRecord.Progress.PREFIX)) {
            return unpackProgress(key.substring(CellRecord.Progress.PREFIX.length()), unpacker, length);
        }
        throw new RecordFormatException(key, "unknown key prefix", null);
    }

    private static String cancelledJob(String key) {
        return key.substring(CellRecord.CancelRequested.PREFIX.length());
    }

    private static CellRecord.Owner unpackOwner(MessageUnpacker unpacker) throws IOException {
        String node = unpacker.unpackString();
        long epoch = unpackEpoch(unpacker);
        boolean released = unpacker.unpackBoolean();
        // Earlier versions of the program write fewer fields.
        boolean countsFromSending = unpacker.hasNext() && unpacker.unpackBoolean();
        long termMs = unpacker.hasNext() ? unpacker.unpackLong() : CellRecord.Owner.MIN_TERM_MS;
        return new CellRecord.Owner(node, epoch, released, countsFromSending, termMs);
    }

    private static long unpackEpoch(MessageUnpacker unpacker) throws IOException {
        long epoch = unpacker.unpackLong();
        if (epoch < 0 || epoch > MAX_EPOCH) {
            throw new IllegalArgumentException("epoch: not from 0 to " + MAX_EPOCH + ": " + epoch);
        }
        return epoch;
    }

    private static void packUnreached(MessageBufferPacker packer, CellRecord.UnreachedWorkers unreached)
            throws IOException {
        packer.packLong(unreached.epoch()).packMapHeader(unreached.leaseRestMs().size());
        for (Map.Entry<WorkerId, Long> rest : unreached.leaseRestMs().entrySet()) {
            packer.packString(rest.getKey().value()).packLong(rest.getValue());
        }
    }

    private static CellRecord.UnreachedWorkers unpackUnreached(MessageUnpacker unpacker) throws IOException {
        long epoch = unpackEpoch(unpacker);
        Map<WorkerId, Long> leaseRestMs = new HashMap<>();
        for (int left = unpacker.unpackMapHeader(); left > 0; left--) {
            WorkerId worker = new WorkerId(unpacker.unpackString());
            long restMs = unpacker.unpackLong();
            if (restMs < 0) {
                throw new IllegalArgumentException("negative time: " + restMs);
            }
            leaseRestMs.put(worker, restMs);
        }
        return new CellRecord.UnreachedWorkers(epoch, leaseRestMs);
    }

    /** Reads the length of an array, whose elements take at least a byte each of a value of the given length. */
    private static int unpackCount(MessageUnpacker unpacker, int length) throws IOException {
        int count = unpacker.unpackArrayHeader();
        if (count > length) {
            throw new IllegalArgumentException("array of " + count + " elements in " + length + " bytes");
        }
        return count;
    }

    private static double unpackFinite(MessageUnpacker unpacker) throws IOException {
        double number = unpacker.unpackFloat();
        if (!Double.isFinite(number)) {
            throw new IllegalArgumentException("not a finite number: " + number);
        }
        return number;
    }

    private static void packSubmission(MessageBufferPacker packer, Submission job) throws IOException {
        packer.packString(job.queue()).packString(job.service());
        packer.packString(job.workspace().value());
        packer.packInt(job.rules().priority()).packInt(job.rules().maxAttempts());
        packer.packDouble(job.rules().slackFactor()).packLong(job.rules().targetMs());
        packer.packLong(job.acceptedAtMs()).packString(job.payload());
        packer.packArrayHeader(job.steps().size());
        for (StepSpec step : job.steps()) {
            packStep(packer, step);
        }
    }

    private static void packStep(MessageBufferPacker packer, StepSpec step) throws IOException {
        packer.packInt(step.count());
        packer.packInt(step.perTask().cpuMillis()).packInt(step.perTask().memoryMb());
        packer.packInt(step.perTask().accelerators());
        packer.packLong(step.estimatedMs());
        packer.packArrayHeader(step.after().size());
        for (int dependency : step.after()) {
            packer.packInt(dependency);
        }
        packer.packInt((step.gang() ? GANG_BIT : 0)
                | (step.sameRack() ? SAME_RACK_BIT : 0)
                | (step.checkpoints() ? CHECKPOINTS_BIT : 0));
        packer.packInt(step.maxPerWorker());
        packer.packString(step.requiredLabel().orElse(""))
                .packString(step.dataRack().orElse(""));
    }

    private static Submission unpackSubmission(String id, MessageUnpacker unpacker, int length) throws IOException {
        String queue = unpacker.unpackString();
        String service = unpacker.unpackString();
        WorkspaceId workspace = new WorkspaceId(unpacker.unpackString());
        Submission.QueueRules rules = new Submission.QueueRules(
                unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackDouble(), unpacker.unpackLong());
        long acceptedAtMs = unpacker.unpackLong();
        String payload = unpacker.unpackString();
        int count = unpackCount(unpacker, length);
        List<StepSpec> steps = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            steps.add(unpackStep(unpacker, length));
        }
        return new Submission(id, queue, service, workspace, rules, acceptedAtMs, payload, steps);
    }

    private static StepSpec unpackStep(MessageUnpacker unpacker, int length) throws IOException {
        int count = unpacker.unpackInt();
        Resources perTask = new Resources(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), 0, 0);
        long estimatedMs = unpacker.unpackLong();
        int dependencies = unpackCount(unpacker, length);
        List<Integer> after = new ArrayList<>(dependencies);
        for (int i = 0; i < dependencies; i++) {
            after.add(unpacker.unpackInt());
        }
        int bits = unpacker.unpackInt();
        return new StepSpec(
                count,
                perTask,
                estimatedMs,
                after,
                (bits & GANG_BIT) != 0,
                (bits & SAME_RACK_BIT) != 0,
                (bits & CHECKPOINTS_BIT) != 0,
                unpacker.unpackInt(),
                optional(unpacker.unpackString()),
                optional(unpacker.unpackString()));
    }

    private static void packProgress(MessageBufferPacker packer, CellRecord.Progress progress) throws IOException {
        packer.packString(progress.queue()).packInt(progress.phase().ordinal()).packLong(progress.endedAtMs());
        packer.packArrayHeader(progress.steps().size());
        for (List<CellRecord.TaskProgress> tasks : progress.steps()) {
            packer.packArrayHeader(tasks.size());
            for (CellRecord.TaskProgress task : tasks) {
                packer.packInt(task.phase().ordinal())
                        .packInt(task.run())
                        .packInt(task.failures())
                        .packInt(task.lastFailedRun());
                packer.packString(task.worker().map(WorkerId::value).orElse(""));
                packer.packString(task.checkpoint());
            }
        }
    }

    private static CellRecord.Progress unpackProgress(String job, MessageUnpacker unpacker, int length)
            throws IOException {
        String queue = unpacker.unpackString();
        JobPhase phase = JOB_PHASES[unpacker.unpackInt()];
        long endedAtMs = unpacker.unpackLong();
        int count = unpackCount(unpacker, length);
        List<List<CellRecord.TaskProgress>> steps = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int taskCount = unpackCount(unpacker, length);
            List<CellRecord.TaskProgress> tasks = new ArrayList<>(taskCount);
            for (int k = 0; k < taskCount; k++) {
                tasks.add(new CellRecord.TaskProgress(
                        TASK_PHASES[unpacker.unpackInt()],
                        unpacker.unpackInt(),
                        unpacker.unpackInt(),
                        unpacker.unpackInt(),
                        optional(unpacker.unpackString()).map(WorkerId::new),
                        unpacker.unpackString()));
            }
            steps.add(tasks);
        }
        return new CellRecord.Progress(job, queue, phase, endedAtMs, steps);
    }

    private static void packLearned(MessageBufferPacker packer, CellRecord.LearnedRunTimes learned) throws IOException {
        packer.packMapHeader(learned.logSpeeds().size());
        for (Map.Entry<WorkerId, Double> speed : learned.logSpeeds().entrySet()) {
            packer.packString(speed.getKey().value()).packFloat(speed.getValue().floatValue());
        }
        packer.packMapHeader(learned.queueErrors().size());
        for (Map.Entry<String, Double> error : learned.queueErrors().entrySet()) {
            packer.packString(error.getKey()).packFloat(error.getValue().floatValue());
        }
        // Earlier releases end here and ignore what follows.
        if (learned.runTimes().isEmpty()) {
            return;
        }
        packer.packArrayHeader(learned.runTimes().size());
        for (RunTimeModel.Group group : learned.runTimes()) {
            RunKind kind = group.kind();
            packer.packString(kind.queue())
                    .packString(kind.workspace().value())
                    .packString(kind.shape())
                    .packBoolean(kind.remote())
                    .packMapHeader(group.weights().size());
            for (Map.Entry<Integer, Integer> weight : group.weights().entrySet()) {
                packer.packInt(weight.getKey()).packInt(weight.getValue());
            }
        }
    }

    private static CellRecord.LearnedRunTimes unpackLearned(MessageUnpacker unpacker) throws IOException {
        Map<WorkerId, Double> speeds = new HashMap<>();
        for (int left = unpacker.unpackMapHeader(); left > 0; left--) {
            speeds.put(new WorkerId(unpacker.unpackString()), unpackFinite(unpacker));
        }
        Map<String, Double> errors = new HashMap<>();
        for (int left = unpacker.unpackMapHeader(); left > 0; left--) {
            errors.put(unpacker.unpackString(), unpackFinite(unpacker));
        }
        List<RunTimeModel.Group> runTimes = new ArrayList<>();
        for (int left = unpacker.hasNext() ? unpacker.unpackArrayHeader() : 0; left > 0; left--) {
            runTimes.add(unpackRunTimes(unpacker));
        }
        return new CellRecord.LearnedRunTimes(speeds, errors, runTimes);
    }

    private static RunTimeModel.Group unpackRunTimes(MessageUnpacker unpacker) throws IOException {
        RunKind kind = new RunKind(
                unpacker.unpackString(),
                new WorkspaceId(unpacker.unpackString()),
                unpacker.unpackString(),
                unpacker.unpackBoolean());
        Map<Integer, Integer> weights = new HashMap<>();
        for (int left = unpacker.unpackMapHeader(); left > 0; left--) {
            weights.put(unpacker.unpackInt(), unpacker.unpackInt());
        }
        return new RunTimeModel.Group(kind, weights);
    }

    private static Optional<String> optional(String text) {
        return text.isEmpty() ? Optional.empty() : Optional.of(text);
    }
}

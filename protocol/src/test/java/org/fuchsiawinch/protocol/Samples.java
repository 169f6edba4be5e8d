package org.fuchsiawinch.protocol;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.AdmissionPolicy;
import org.fuchsiawinch.model.AttemptId;
import org.fuchsiawinch.model.CellId;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.FaultPolicy;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.LendingPolicy;
import org.fuchsiawinch.model.NodeId;
import org.fuchsiawinch.model.Objective;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.PricePolicy;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.record.Envelope;
import org.fuchsiawinch.protocol.record.LogRecord;
import org.fuchsiawinch.protocol.record.RecordId;

/** Sample values for tests. */
public final class Samples {

    public static final CellId CELL = new CellId("main");
    public static final NodeId N1 = new NodeId("n1");
    public static final NodeId N2 = new NodeId("n2");
    public static final WorkerId W1 = new WorkerId("w1");
    public static final WorkerId W2 = new WorkerId("w2");
    public static final Resources PART = new Resources(1000, 1024, 1, 1, 1);
    public static final WorkspaceId WORKSPACE = new WorkspaceId("plans");

    private Samples() {}

    public static JobSpec job(String id, int parts, boolean idempotent, OptionalLong deadlineMs) {
        return new JobSpec(
                new JobId(id),
                WORKSPACE,
                "kind",
                new Shape(parts, PART, Adjacency.DATA_CENTRE),
                1000,
                idempotent,
                false,
                Urgency.NORMAL,
                deadlineMs);
    }

    public static JobSpec idempotentJob(String id, int parts) {
        return job(id, parts, true, OptionalLong.empty());
    }

    public static AttemptId attempt(String job, int number) {
        return new AttemptId(new JobId(job), number);
    }

    public static WorkerSpec worker(WorkerId id, int parts) {
        return new WorkerSpec(id, "suva-1", "r1", PART.times(parts), 1.0);
    }

    public static Envelope envelope(NodeId writer, long sequence, long writtenMs, LogRecord record) {
        return new Envelope(new RecordId(writer, sequence), Envelope.SCHEMA_VERSION, writtenMs, record);
    }

    /**
     * Document fold that accepts any first document or republished document while none is in force, and refuses every
     * later record.
     */
    public static final class SimpleDocumentFold implements DocumentFold {

        private Optional<VersionInForce> inForce = Optional.empty();

        @Override
        public Optional<Refusal> apply(LogRecord record) {
            if (inForce.isPresent()) {
                return Optional.of(new Refusal(Refusal.Code.ALREADY_FOUNDED, ""));
            }
            if (record instanceof LogRecord.DocumentFounded founded) {
                inForce = Optional.of(new VersionInForce(1, founded.text(), policy(1)));
            } else if (record instanceof LogRecord.DocumentRepublished republished) {
                inForce = Optional.of(
                        new VersionInForce(republished.version(), republished.text(), policy(republished.version())));
            }
            return Optional.empty();
        }

        @Override
        public Optional<VersionInForce> inForce() {
            return inForce;
        }

        private static Policy policy(int version) {
            return new Policy(
                    version,
                    new Objective(1, 1),
                    Map.of(WORKSPACE, new WorkspacePolicy(List.of(), 100, 100, OptionalLong.empty(), 1)),
                    new LendingPolicy(true, 1000, 30_000),
                    new EstimatePolicy(0.9, 5, 0.5, 4, 0, 2),
                    new FaultPolicy(3, 3, 600_000, 5000),
                    new AdmissionPolicy(100, 1000),
                    new PricePolicy(1, 1, 1));
        }
    }
}

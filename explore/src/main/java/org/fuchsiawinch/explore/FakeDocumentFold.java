package org.fuchsiawinch.explore;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.model.AdmissionPolicy;
import org.fuchsiawinch.model.EstimatePolicy;
import org.fuchsiawinch.model.FaultPolicy;
import org.fuchsiawinch.model.LendingPolicy;
import org.fuchsiawinch.model.Objective;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.PricePolicy;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.protocol.fold.DocumentFold;
import org.fuchsiawinch.protocol.record.LogRecord;

/** Fake document: one line of text that every team may change. Not thread-safe. */
final class FakeDocumentFold implements DocumentFold {

    private final boolean checksBase;
    private Optional<VersionInForce> inForce = Optional.empty();

    FakeDocumentFold(boolean checksBase) {
        this.checksBase = checksBase;
    }

    @Override
    public Optional<Refusal> apply(LogRecord record) {
        if (record instanceof LogRecord.DocumentFounded founded) {
            return applyFounded(founded);
        }
        if (record instanceof LogRecord.DocumentProposed proposed) {
            return applyProposed(proposed);
        }
        if (record instanceof LogRecord.DocumentRepublished republished) {
            return applyRepublished(republished);
        }
        return Optional.empty();
    }

    @Override
    public Optional<VersionInForce> inForce() {
        return inForce;
    }

    private Optional<Refusal> applyFounded(LogRecord.DocumentFounded founded) {
        if (inForce.isPresent()) {
            return refused(Refusal.Code.ALREADY_FOUNDED);
        }
        accept(1, founded.text());
        return Optional.empty();
    }

    private Optional<Refusal> applyProposed(LogRecord.DocumentProposed proposed) {
        if (inForce.isEmpty()) {
            return refused(Refusal.Code.NOT_FOUNDED);
        }
        int version = inForce.get().version();
        if (checksBase && proposed.baseVersion() != version) {
            return refused(Refusal.Code.CONFLICT);
        }
        accept(version + 1, proposed.text());
        return Optional.empty();
    }

    private Optional<Refusal> applyRepublished(LogRecord.DocumentRepublished republished) {
        if (inForce.isEmpty()) {
            accept(republished.version(), republished.text());
            return Optional.empty();
        }
        boolean same = inForce.get().version() == republished.version()
                && inForce.get().text().equals(republished.text());
        return same ? Optional.empty() : refused(Refusal.Code.NOT_IN_FORCE);
    }

    private void accept(int version, String text) {
        inForce = Optional.of(new VersionInForce(version, text, policy(version)));
    }

    private static Optional<Refusal> refused(Refusal.Code code) {
        return Optional.of(new Refusal(code, "document"));
    }

    private static Policy policy(int version) {
        WorkspacePolicy workspace = new WorkspacePolicy(List.of(), 1000, 1000, OptionalLong.empty(), 3_600_000);
        return new Policy(
                version,
                new Objective(1, 1),
                Map.of(Simulation.WORKSPACE, workspace),
                new LendingPolicy(true, 1000, 30_000),
                new EstimatePolicy(0.9, 5, 0.5, 4, 0, 2),
                new FaultPolicy(3, 3, 600_000, 5000),
                new AdmissionPolicy(1000, 1000),
                new PricePolicy(1, 1, 1));
    }
}

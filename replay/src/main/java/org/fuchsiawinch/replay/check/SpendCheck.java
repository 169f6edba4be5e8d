package org.fuchsiawinch.replay.check;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.fuchsiawinch.replay.history.HistoryEvent;

/** Compares the spend of each workspace and period with the highest limit that was in force. */
final class SpendCheck implements HistoryCheck {

    private final SpendLedger ledger = new SpendLedger();
    private final Map<WorkspaceId, Long> limitMicros = new HashMap<>();

    @Override
    public void onEvent(HistoryEvent event, Consumer<Violation> report) {
        ledger.onEvent(event);
        if (event instanceof HistoryEvent.PolicyInForce inForce) {
            raiseLimits(inForce.policy());
        }
    }

    @Override
    public void finish(long endMs, Consumer<Violation> report) {
        ledger.finish(endMs);
        ledger.spentMicros().forEach((period, spent) -> {
            if (spent > limitMicros.getOrDefault(period.workspace(), Long.MAX_VALUE)) {
                report.accept(Violation.ofWorkspace(Promise.SPEND_WITHIN_LIMIT, endMs, period.workspace()));
            }
        });
    }

    private void raiseLimits(Policy policy) {
        for (Map.Entry<WorkspaceId, WorkspacePolicy> entry : policy.workspaces().entrySet()) {
            OptionalLong limit = entry.getValue().spendLimitMicros();
            limitMicros.merge(entry.getKey(), limit.orElse(Long.MAX_VALUE), Math::max);
        }
    }
}

package org.fuchsiawinch.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.workflow.owner.CellOwner;
import org.fuchsiawinch.workflow.owner.OwnerEffect;
import org.fuchsiawinch.workflow.owner.OwnerInput;
import org.fuchsiawinch.workflow.owner.OwnerSettings;
import org.fuchsiawinch.workflow.owner.WorkerRegistration;
import org.fuchsiawinch.workflow.owner.WorkerReport;
import org.fuchsiawinch.workflow.record.CellRecord;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests how a new owner renews the leases of many workers for the first time. */
public class FirstRenewalsTest {

    private static final int WORKERS = 246;
    private static final int MAX_IN_FLIGHT = 32;

    /** Ticks until a renewal without an answer fails. */
    private static final int TIMEOUT_TICKS = 7;

    private final List<WorkerId> asked = new ArrayList<>();
    private CellOwner owner;
    private long nowMs;

    private void takeOver(List<CellRecord> records) {
        asked.clear();
        nowMs = OwnerHarness.START_MS;
        owner = new CellOwner(OwnerSettings.of("n1", 10_000, 3, 60_000), 2, (event, pairs) -> {}, nowMs, nowMs);
        owner.load(records, Optional.empty(), nowMs);
        for (int i = 0; i < WORKERS; i++) {
            input(new OwnerInput.WorkerListed(new WorkerRegistration(
                    worker(i), "desk", "r1", List.of("a", "r1"), OwnerHarness.WORKER_CAPACITY, false)));
        }
    }

    private static WorkerId worker(int index) {
        return new WorkerId("w" + (1000 + index));
    }

    private void input(OwnerInput input) {
        for (OwnerEffect effect : owner.handle(input, nowMs)) {
            if (effect instanceof OwnerEffect.Renew renew) {
                asked.add(renew.worker());
            }
        }
    }

    private void answer(WorkerId worker) {
        input(new OwnerInput.Renewed(worker, nowMs, new WorkerReport(1, 5000, List.of(), List.of(), true)));
    }

    // Guards against an owner that is missed by the other nodes, as it sends nothing but hundreds of renewals at first.
    @Test
    public void asksSomeWorkersAtATime() {
        takeOver(List.of());
        assertEquals(asked.size(), MAX_IN_FLIGHT);
        for (int answered = 0; answered < WORKERS; answered++) {
            long first = asked.stream().distinct().count();
            assertTrue(first - answered <= MAX_IN_FLIGHT, first + " asked, " + answered + " answered");
            nowMs++;
            answer(worker(answered));
        }
        assertEquals(asked.stream().distinct().count(), WORKERS);
    }

    // Guards against workers that get no work since others, which are gone, do not answer.
    @Test
    public void asksTheOthersSoonThoughTheFirstDoNotAnswer() {
        takeOver(List.of());
        List<Integer> askedByTick = new ArrayList<>();
        for (int tick = 0; tick < 25; tick++) {
            nowMs += 100;
            input(new OwnerInput.Tick());
            askedByTick.add(asked.size());
            if (tick >= TIMEOUT_TICKS) {
                int timedOut = askedByTick.get(tick - TIMEOUT_TICKS);
                int from = tick == TIMEOUT_TICKS ? 0 : askedByTick.get(tick - TIMEOUT_TICKS - 1);
                List.copyOf(asked.subList(from, timedOut))
                        .forEach(worker -> input(new OwnerInput.RenewalFailed(worker, nowMs, false, "time-out")));
            }
        }
        assertEquals(asked.stream().distinct().count(), WORKERS);
    }

    // Guards against runs that are held back or lost, as their workers come last.
    @Test
    public void asksWorkersWithRunsBeforeOthers() {
        OwnerHarness before = new OwnerHarness();
        WorkerId last = worker(WORKERS - 1);
        before.worker(last.value(), "r1");
        before.takeOver().submit("job", 1, OwnerHarness.tasks(1, 1, 60_000)).run(1500);
        assertEquals(before.runningCount(), 1);
        takeOver(List.copyOf(before.stored.values()));
        answer(asked.get(0));
        assertEquals(asked.stream().distinct().toList().indexOf(last), MAX_IN_FLIGHT, asked.toString());
    }
}

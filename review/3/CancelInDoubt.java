package cases;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import lab.Lab;
import lab.Store;
import lab.Worker;

/** A consumer gets no result for its submission, cancels the job, and is told so; the job runs all the same. */
public final class CancelInDoubt {

    private static final String KEY = "key-a";
    private static final String JOB = "00000000000000a1";
    private static final long CANCEL_MS = 3000;
    private static final long STORE_LATE_MS = 5500;

    public static void main(String[] arguments) {
        Lab.run(arguments, CancelInDoubt::run);
    }

    private static void run(Lab lab) throws Exception {
        AtomicLong startedAtMs = new AtomicLong(-1);
        Worker.Listener listener = new Worker.Listener() {
            @Override
            public void started(Worker worker, String task, long run, String spec, long atMs) {
                if (task.startsWith(JOB)) {
                    startedAtMs.compareAndSet(-1, atMs);
                }
            }

            @Override
            public void ended(Worker worker, String task, long run, String how, long atMs) {}
        };
        for (int i = 0; i < 3; i++) {
            lab.worker("i-7f3a91c" + i, "r1-" + i, listener);
        }
        lab.config(7, List.of(KEY));
        for (int i = 0; i < 3; i++) {
            lab.node("frontend-z1-" + i, lab.store.port());
        }
        lab.awaitReady();
        warmUp(lab);
        Lab.sleep(4000);

        if (lab.trouble) {
            lab.store.appends(
                    (records, fenced) -> !fenced && records.stream().anyMatch(r -> r.key().equals("j/" + JOB))
                            ? Store.Fate.LATE
                            : Store.Fate.ANSWERED,
                    STORE_LATE_MS);
        }
        Lab.Reply submitted =
                lab.consumer(lab.nodes.get(0), "POST", Lab.PREFIX + JOB, KEY, Lab.job(1, 1, 2000));
        lab.store.appends((records, fenced) -> Store.Fate.ANSWERED, 0);
        Lab.Reply cancelled = lab.consumer(lab.nodes.get(1), "DELETE", Lab.PREFIX + JOB, KEY, "");
        long cancelledAtMs = lab.recorder.nowMs();
        boolean acknowledged = cancelled.status() / 100 == 2 || cancelled.status() == 410;
        for (int i = 0; i < 10; i++) {
            Lab.sleep(1000);
            lab.consumer(lab.nodes.get(2), "GET", Lab.PREFIX + JOB, KEY, "");
        }
        lab.recorder.say("submission answered " + submitted.status() + ", cancelling answered " + cancelled.status()
                + " at " + cancelledAtMs + " ms, first start at " + startedAtMs.get() + " ms");
        if (!acknowledged) {
            lab.recorder.say("the case could not run: the cancelling was not acknowledged");
            lab.close();
            System.exit(2);
        }
        boolean broken = startedAtMs.get() > cancelledAtMs + CANCEL_MS;
        lab.finish(broken, "UNASKED, a start later than cancel_ms after the job's cancelling was acknowledged");
    }

    private static void warmUp(Lab lab) {
        String path = Lab.PREFIX + "00000000000000f0";
        lab.await(
                () -> lab.consumer(lab.nodes.get(0), "POST", path, KEY, Lab.job(2, 1, 300)).status() == 200,
                20_000,
                "no job is accepted");
        lab.await(
                () -> lab.call(lab.nodes.get(0).frontend, "GET", path, KEY, "", 2000).body().contains("completed"),
                20_000,
                "the first job does not end");
    }
}

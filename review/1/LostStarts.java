package cases;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import lab.Json;
import lab.Lab;
import lab.Worker;

/**
 * One worker of eight is cut off for some seconds while work is started on it, and other jobs come; then the next one.
 * Some of the jobs' work items are never started. The traffic ends when a job stands still, or after a time.
 */
public final class LostStarts {

    private static final String KEY = "key-a";
    private static final long CUT_MS = 2700;
    private static final long SETTLE_MS = 5000;

    /** Least length of a round; keeps the traffic below 8 jobs a second over any 4 s. */
    private static final long ROUND_MS = 5200;
    private static final long TRAFFIC_MS = 78_000;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3000;
    private static final Set<String> ENDED = ConcurrentHashMap.newKeySet();
    private static final int WORKERS = 8;
    private static final int JOBS_AT_ONCE = 15;

    /** The time from a start order until its connection is waited for no longer. */
    private static final long ORDER_MS = 1200;

    public static void main(String[] arguments) {
        Lab.run(arguments, LostStarts::run);
    }

    private static void run(Lab lab) throws Exception {
        Map<String, Integer> runningByJob = new HashMap<>();
        Map<String, Long> lastRunMs = new HashMap<>();
        Map<String, Integer> startedByJob = new HashMap<>();
        Worker.Listener listener = new Worker.Listener() {
            @Override
            public void started(Worker worker, String task, long run, String spec, long atMs) {
                synchronized (runningByJob) {
                    runningByJob.merge(task.substring(0, 16), 1, Integer::sum);
                    startedByJob.merge(task.substring(0, 16), 1, Integer::sum);
                }
            }

            @Override
            public void ended(Worker worker, String task, long run, String how, long atMs) {
                synchronized (runningByJob) {
                    runningByJob.merge(task.substring(0, 16), -1, Integer::sum);
                    lastRunMs.put(task.substring(0, 16), atMs);
                }
            }
        };
        for (int i = 0; i < WORKERS; i++) {
            lab.worker("i-7f3a91c" + i, "r1-" + i, listener);
        }
        lab.config(7, List.of(KEY));
        for (int i = 0; i < 3; i++) {
            lab.node("frontend-z1-" + i, lab.store.port());
        }
        lab.awaitReady();
        lab.await(
                () -> lab.consumer(
                                        lab.nodes.get(0),
                                        "POST",
                                        Lab.PREFIX + "00000000000000f0",
                                        KEY,
                                        job(8, "", 300))
                                .status()
                        == 200,
                20_000,
                "no job is accepted");
        Lab.sleep(3000);

        Set<String> accepted = ConcurrentHashMap.newKeySet();
        ExecutorService consumers = Executors.newFixedThreadPool(12);
        long endMs = lab.recorder.nowMs() + TRAFFIC_MS;
        for (int round = 0; lab.recorder.nowMs() < endMs; round++) {
            int node = round % 3;
            Worker cut = lab.workers.get(round % WORKERS);
            String rack = "r1-" + round % WORKERS;
            if (lab.trouble) {
                cut.silent(true);
            }
            long cutAtMs = lab.recorder.nowMs();
            Lab.sleep(50);
            submit(lab, accepted, node, String.format("%016x", 0xa0000 + round), job(64, rack, 300));
            for (int burst = 1; burst <= 2; burst++) {
                Lab.sleep(Math.max(0, cutAtMs + burst * ORDER_MS - 100 - lab.recorder.nowMs()));
                for (int i = 0; i < JOBS_AT_ONCE; i++) {
                    String id = String.format("%016x", 0xb0000 + round * 100 + burst * 50 + i);
                    int first = i % 3;
                    consumers.execute(() -> submit(lab, accepted, first, id, job(14, "", 300)));
                    Lab.sleep(20);
                }
            }
            Lab.sleep(Math.max(0, cutAtMs + CUT_MS - lab.recorder.nowMs()));
            if (lab.trouble) {
                cut.silent(false);
            }
            long settledMs = lab.recorder.nowMs() + SETTLE_MS;
            while (open(lab, accepted) > 0 && lab.recorder.nowMs() < settledMs) {
                Lab.sleep(100);
            }
            if (open(lab, accepted) > 0) {
                lab.recorder.say("after round " + round + " a job has not ended 5 s after all workers answer again");
                break;
            }
            Lab.sleep(Math.max(0, cutAtMs + ROUND_MS - lab.recorder.nowMs()));
        }
        long overMs = lab.recorder.nowMs();
        lab.recorder.say(accepted.size() + " jobs accepted; the traffic is over");
        Lab.sleep(FINISH_MS);

        List<String> stuck = new ArrayList<>();
        long nowMs = lab.recorder.nowMs();
        Set<String> open = new HashSet<>();
        for (String id : accepted) {
            String state = lab.call(lab.nodes.get(1).frontend, "GET", Lab.PREFIX + id, KEY, "", 3000).body();
            if (!state.contains("completed")) {
                open.add(id);
                synchronized (runningByJob) {
                    if (runningByJob.getOrDefault(id, 0) == 0 && nowMs - lastRunMs.getOrDefault(id, overMs) > IDLE_MS) {
                        stuck.add(id);
                        lab.recorder.say("job " + id + " is " + state + ", nothing of it runs or has run for "
                                + (nowMs - lastRunMs.getOrDefault(id, overMs)) + " ms, "
                                + startedByJob.getOrDefault(id, 0) + " starts");
                    }
                }
            }
        }
        int runs = lab.workers.stream().mapToInt(Worker::runs).sum();
        lab.recorder.say("14 s after the end of the traffic " + open.size() + " jobs have not ended, " + stuck.size()
                + " of them stand still, while " + runs + " work items run on " + WORKERS + " workers");
        lab.finish(!stuck.isEmpty(), "LOST, an accepted job has nothing running while all workers are idle");
    }

    /** Returns the number of accepted jobs that have not ended; ended ones are not asked for again. */
    private static long open(Lab lab, Set<String> accepted) {
        return accepted.stream()
                .filter(id -> !ENDED.contains(id))
                .filter(id -> {
                    Lab.Reply reply = lab.call(lab.nodes.get(1).frontend, "GET", Lab.PREFIX + id, KEY, "", 3000);
                    return !reply.body().contains("completed") || !ENDED.add(id);
                })
                .count();
    }

    private static void submit(Lab lab, Set<String> accepted, int node, String id, String body) {
        for (int attempt = 0; attempt < 5; attempt++) {
            if (lab.consumer(lab.nodes.get((node + attempt) % 3), "POST", Lab.PREFIX + id, KEY, body).status() == 200) {
                accepted.add(id);
                return;
            }
            Lab.sleep(300);
        }
    }

    private static String job(int count, String label, long workMs) {
        return Json.write(Json.map(
                "spec", "text ms=" + workMs,
                "steps",
                        List.of(Json.map(
                                "count", count,
                                "cpu", 500,
                                "requestedMemoryMb", 256,
                                "estimatedMs", workMs,
                                "requirements", label))));
    }
}

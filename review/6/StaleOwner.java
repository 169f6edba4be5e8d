package staleowner;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import rig.Client;
import rig.Json;
import rig.Nodes;
import rig.Recorder;
import rig.Store;
import rig.Worker;

/**
 * The node that holds the cell freezes while the store's answer to its append is on its way: the record that assigns a work
 * item to a worker. Another node takes the cell and starts the work item elsewhere. The worker loses power and is back
 * before the first node wakes.
 */
public final class StaleOwner {

    private static final Worker.Kind KIND = new Worker.Kind("a", 32_000, 131_072, 8);
    private static final int WORKERS = 8;
    private static final long WORK_MS = 5000;
    private static final long DOWN_MS = 400;

    /** From the new boot's start to the end of the freeze. */
    private static final long WAKE_MS = 100;

    /** Longest freeze on the site. */
    private static final long MAX_FREEZE_MS = 4000;

    /** Rounds at most, each with new nodes and workers; the last one is the first that breaks the rule. */
    private static final int ROUNDS = 5;

    /** No round begins later, so that the script ends within 120 s. */
    private static final long LAST_ROUND_MS = 75_000;

    private StaleOwner() {}

    /** One freeze of the present owner. */
    private static final class Round {
        private final String job;
        private final String urgent;
        private final Nodes.Node owner;
        private final CountDownLatch frozen = new CountDownLatch(1);
        private final CountDownLatch elsewhere = new CountDownLatch(1);
        private volatile Worker assigned;
        private volatile long frozenMs;

        private Round(int number, Nodes.Node owner) {
            this.job = String.format("5c0e7a21d94b1%03d", number);
            this.urgent = String.format("5c0e7a21d94b2%03d", number);
            this.owner = owner;
        }

        private String task() {
            return job + ".0.0.0";
        }
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path here = Path.of(arguments[0]);
        int exit = 2;
        try (Recorder recorder = new Recorder(here.resolve("record.txt"))) {
            for (int round = 1; round <= ROUNDS && exit != 1 && recorder.ms() < LAST_ROUND_MS; round++) {
                recorder.line("round " + round);
                Path folder = Files.createTempDirectory("review-stale-");
                try (Nodes nodes = new Nodes(Path.of("").toAbsolutePath(), folder, recorder)) {
                    int result = run(trouble, recorder, nodes);
                    exit = result == 2 ? exit : result;
                }
            }
            recorder.line("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(boolean trouble, Recorder recorder, Nodes nodes) throws Exception {
        Map<String, Worker.Item> items = new ConcurrentHashMap<>();
        Map<String, Set<String>> running = new ConcurrentHashMap<>();
        Map<String, Integer> done = new ConcurrentHashMap<>();
        AtomicReference<Round> current = new AtomicReference<>();
        // Until when a call of the new owner waits at each worker.
        Map<String, Long> askedUntilMs = new ConcurrentHashMap<>();
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public Worker.Item item(String task) {
                return items.get(task);
            }

            @Override
            public void started(Worker worker, String task, int run, Worker.Item item, List<String> tasks) {
                Set<String> others = running.computeIfAbsent(task, added -> ConcurrentHashMap.newKeySet());
                if (!others.isEmpty()) {
                    recorder.broken("TWICE: " + worker.id + " starts " + task + " run " + run
                            + " while it runs: " + others);
                }
                others.add(worker.id + " run " + run);
                Round round = current.get();
                if (task.equals(round.task()) && worker != round.assigned) {
                    round.elsewhere.countDown();
                }
            }

            @Override
            public void ended(Worker worker, String task, int run, String how) {
                running.get(task).remove(worker.id + " run " + run);
                if (how.equals("done")) {
                    done.merge(task, 1, Integer::sum);
                }
            }
        };
        Store store = new Store();
        store.put("keyed.op", "config", Json.write(config()));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker =
                    new Worker("i-" + (100 + i), "desk", "r" + i / 4, 10_000, 1500, store, recorder, observer);
            worker.endConnections();
            worker.start(KIND);
            workers.add(worker);
        }
        for (int i = 1; i <= 3; i++) {
            nodes.add("frontend-" + i, store.open()).start();
        }
        Client client = new Client(nodes.all(), "desk.example", "key-shops", recorder);
        long giveUpMs = recorder.ms() + 20_000;
        while (nodes.owner() == null && recorder.ms() < giveUpMs) {
            Thread.sleep(100);
        }
        if (nodes.owner() == null) {
            recorder.line("no node holds the cell");
            return 2;
        }
        Thread.sleep(3000);
        if (trouble) {
            workers.forEach(worker -> worker.deliverBy((to, path, order) -> {
                if (path.equals("/-/hold")) {
                    askedUntilMs.put(to.id, recorder.ms() + ((Number) order.get("waitMs")).longValue());
                }
                return true;
            }));
            store.observeBy((address, body, status) -> {
                Round round = current.get();
                if (round != null
                        && round.frozenMs == 0
                        && status == 200
                        && address.equals(round.owner.storeAddress)
                        && body.contains("s/" + round.job)) {
                    // The record of the job names one worker; other records of the append may name all.
                    String record = body.substring(body.indexOf("s/" + round.job));
                    round.assigned = workers.stream()
                            .filter(worker -> record.contains(worker.id))
                            .min(Comparator.comparingInt(worker -> record.indexOf(worker.id)))
                            .orElseThrow();
                    round.frozenMs = recorder.ms();
                    round.owner.signal("STOP");
                    recorder.line("work item " + round.task() + " is assigned to " + round.assigned.id);
                    round.frozen.countDown();
                }
            });
        }
        Round round = new Round(1, nodes.owner());
        current.set(round);
        boolean counts = play(round, trouble, items, client, nodes, askedUntilMs, recorder);
        // The work items end.
        Thread.sleep(WORK_MS + 1000);
        String state = client.callWithRetries("GET", "/checks/" + round.job, "").body();
        workers.forEach(Worker::crash);
        String summary = (counts ? "" : "not staged, ") + "job " + state + ", broken " + recorder.broken().size();
        recorder.line(summary);
        System.out.println(summary);
        if (!counts) {
            // A round with too long a freeze counts neither way.
            recorder.forgetBroken();
            return 2;
        }
        return recorder.broken().isEmpty() ? 0 : 1;
    }

    private static boolean play(
            Round round,
            boolean trouble,
            Map<String, Worker.Item> items,
            Client client,
            Nodes nodes,
            Map<String, Long> askedUntilMs,
            Recorder recorder)
            throws Exception {
        Nodes.Node other =
                nodes.all().stream().filter(node -> node != round.owner).findFirst().orElseThrow();
        items.put(round.task(), new Worker.Item("check", 8000, 16_384, 8, "", WORK_MS));
        client.call(other, "POST", "/checks/" + round.job, job("check"));
        if (trouble && !round.frozen.await(5, TimeUnit.SECONDS)) {
            recorder.line("no freeze");
            return false;
        }
        // Urgent work, which the next owner places first, also on the worker of the earlier assignment.
        items.put(round.urgent + ".0.0.0", new Worker.Item("quote", 8000, 16_384, 8, "", WORK_MS));
        client.call(other, "POST", "/quotes/" + round.urgent, job("quote"));
        if (!trouble) {
            return true;
        }
        boolean ready = round.elsewhere.await(
                round.frozenMs + MAX_FREEZE_MS - DOWN_MS - WAKE_MS - 250 - recorder.ms(), TimeUnit.MILLISECONDS);
        if (ready) {
            Thread.sleep(50);
            // The call that is waiting lasts longer than the worker is down.
            while (askedUntilMs.getOrDefault(round.assigned.id, 0L) - recorder.ms() < DOWN_MS + WAKE_MS
                    && recorder.ms() - round.frozenMs < MAX_FREEZE_MS - DOWN_MS - WAKE_MS - 150) {
                Thread.sleep(5);
            }
            round.assigned.losePower();
            Thread.sleep(DOWN_MS);
            round.assigned.powerUp(KIND);
            Thread.sleep(WAKE_MS);
        }
        round.owner.signal("CONT");
        long freezeMs = recorder.ms() - round.frozenMs;
        recorder.line("the freeze took " + freezeMs + " ms");
        return ready && freezeMs <= MAX_FREEZE_MS;
    }

    private static String job(String spec) {
        return Json.write(Json.map(
                "spec",
                spec,
                "steps",
                List.of(Json.map(
                        "count", 1, "cpu", 8000, "requestedMemoryMb", 16_384, "gpu", 8, "estimatedMs", WORK_MS))));
    }

    private static Map<String, Object> config() {
        return Json.map(
                "version", 3,
                "routes",
                        List.of(route("checks", "/checks/", 2, 3.0, 3000), route("quotes", "/quotes/", 0, 1.5, 250)),
                "services", List.of(Json.map("name", "desk", "admissionCheck", false)),
                "limits", Json.map("maxBodyBytes", 262_144),
                "tenants",
                        List.of(Json.map(
                                "name", "shops",
                                "apiKeys", List.of("key-shops"),
                                "guaranteed", Json.map("gpu", 8))));
    }

    private static Map<String, Object> route(String name, String prefix, int priority, double slack, long targetMs) {
        return Json.map(
                "name", name,
                "host", "desk.example",
                "pathPrefix", prefix,
                "kind", "non_idempotent",
                "timeoutMs", 3000,
                "targetCompletionMs", targetMs,
                "priority", priority,
                "service", "desk",
                "maxAttempts", 3,
                "slackFactor", slack,
                "public", false);
    }
}

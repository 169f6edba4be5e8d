package newkind;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import rig.Client;
import rig.Json;
import rig.Nodes;
import rig.Recorder;
import rig.Store;
import rig.Worker;

/**
 * Twelve workers of kind "a" are kept busy with work items that require kind "a". One worker after the other crashes and
 * starts again under its id, as a smaller machine of kind "b".
 */
public final class NewKind {

    private static final Worker.Kind KIND_A = new Worker.Kind("a", 32_000, 131_072, 8);
    private static final Worker.Kind KIND_B = new Worker.Kind("b", 16_000, 65_536, 4);
    private static final int WORKERS = 12;
    private static final int TASKS = 16;
    private static final long WORK_MS = 4000;
    private static final long DOWN_MS = 2000;

    private NewKind() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path here = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("review-kind-");
        int exit = 2;
        try (Recorder recorder = new Recorder(here.resolve("record.txt"));
                Nodes nodes = new Nodes(Path.of("").toAbsolutePath(), folder, recorder)) {
            exit = run(trouble, recorder, nodes);
            recorder.line("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(boolean trouble, Recorder recorder, Nodes nodes) throws Exception {
        Map<String, Worker.Item> items = new ConcurrentHashMap<>();
        Map<String, Set<String>> done = new ConcurrentHashMap<>();
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public Worker.Item item(String task) {
                return items.get(task);
            }

            @Override
            public void started(Worker worker, String task, int run, Worker.Item item, List<String> running) {
                if (!worker.kind().label().equals(item.requirement())) {
                    recorder.broken("ROUTE: " + worker.id + ", kind " + worker.kind().label() + ", starts " + task
                            + " run " + run + ", which requires kind " + item.requirement());
                }
                long[] used = worker.inUse();
                if (used[0] > worker.kind().cpu()
                        || used[1] > worker.kind().memoryMb()
                        || used[2] > worker.kind().gpu()) {
                    recorder.broken("LIMIT: " + worker.id + " starts " + task + " run " + run + ", now " + used[2]
                            + " of " + worker.kind().gpu() + " gpu and " + used[0] + " of "
                            + worker.kind().cpu() + " cpu");
                }
            }

            @Override
            public void ended(Worker worker, String task, int run, String how) {
                if (how.equals("done")) {
                    done.computeIfAbsent(task.substring(0, 16), id -> ConcurrentHashMap.newKeySet())
                            .add(task);
                }
            }
        };
        Store store = new Store();
        store.put(
                "keyed.op",
                "config",
                Json.write(Json.map(
                        "version", 3,
                        "routes",
                                List.of(Json.map(
                                        "name", "plans",
                                        "host", "desk.example",
                                        "pathPrefix", "/plans/",
                                        "kind", "non_idempotent",
                                        "timeoutMs", 3000,
                                        "targetCompletionMs", 1000,
                                        "priority", 1,
                                        "service", "desk",
                                        "maxAttempts", 3,
                                        "slackFactor", 3.0,
                                        "public", false)),
                        "services", List.of(Json.map("name", "desk", "admissionCheck", false)),
                        "limits", Json.map("maxBodyBytes", 262_144),
                        "tenants",
                                List.of(Json.map(
                                        "name", "shops",
                                        "apiKeys", List.of("key-shops"),
                                        "guaranteed", Json.map("gpu", 8))))));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            Worker worker =
                    new Worker("i-" + (100 + i), "desk", "r" + i / 4, 10_000, 1500, store, recorder, observer);
            worker.start(KIND_A);
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
        Thread.sleep(1500);
        Set<String> accepted = new HashSet<>();
        long startMs = recorder.ms();
        int crashed = 0;
        // 1.2 times what twelve workers of kind "a" can do.
        for (int job = 0; recorder.ms() - startMs < 60_000; job++) {
            String id = String.format("%016x", 0x5c0e7a21d94b0000L + job);
            for (int index = 0; index < TASKS; index++) {
                items.put(id + ".0.0." + index, new Worker.Item("plan " + id, 4000, 16_384, 1, "a", WORK_MS));
            }
            Client.Answer answer = client.callWithRetries(
                    "POST",
                    "/plans/" + id,
                    Json.write(Json.map(
                            "spec",
                            "plan " + id,
                            "steps",
                            List.of(Json.map(
                                    "count", TASKS,
                                    "cpu", 4000,
                                    "requestedMemoryMb", 16_384,
                                    "gpu", 1,
                                    "estimatedMs", WORK_MS,
                                    "requirements", "a")))));
            if (answer.status() == 200) {
                accepted.add(id);
            }
            long elapsedMs = recorder.ms() - startMs;
            // Ten of the twelve workers, so that work for kind "a" can still be done.
            if (trouble && crashed < WORKERS - 2 && elapsedMs > 8000 + crashed * 5000L) {
                Worker worker = workers.get(crashed++);
                worker.crash();
                Thread restart = new Thread(() -> {
                    try {
                        Thread.sleep(DOWN_MS);
                        worker.start(KIND_B);
                    } catch (Exception e) {
                        recorder.line("restart failed: " + e);
                    }
                });
                restart.start();
            }
            Thread.sleep(550);
        }
        Map<String, Integer> count = new HashMap<>();
        recorder.broken().forEach(text -> count.merge(text.substring(0, text.indexOf(':')), 1, Integer::sum));
        long finished = accepted.stream()
                .filter(id -> done.getOrDefault(id, Set.of()).size() == TASKS)
                .count();
        String summary = "accepted " + accepted.size() + " jobs, finished " + finished + ", broken " + count;
        recorder.line(summary);
        System.out.println(summary);
        if (accepted.isEmpty() || finished == 0) {
            return 2;
        }
        return recorder.broken().isEmpty() ? 0 : 1;
    }
}

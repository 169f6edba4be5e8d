package cases;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lab.Lab;
import lab.Worker;

/** A worker falls silent; the jobs that were meant for it have not begun, but are no longer counted as pending. */
public final class PendingCount {

    private static final String KEY = "key-a";
    private static final long VISIBLE_MS = 3000;
    private static final long SLACK_MS = 2000;
    private static final int JOBS = 6;

    public static void main(String[] arguments) {
        Lab.run(arguments, PendingCount::run);
    }

    private static void run(Lab lab) throws Exception {
        Set<String> begun = ConcurrentHashMap.newKeySet();
        Worker.Listener listener = new Worker.Listener() {
            @Override
            public void started(Worker worker, String task, long run, String spec, long atMs) {
                begun.add(task.substring(0, 16));
            }

            @Override
            public void ended(Worker worker, String task, long run, String how, long atMs) {}
        };
        for (int i = 0; i < 8; i++) {
            lab.worker("i-7f3a91c" + i, "r1-" + i, listener);
        }
        lab.config(7, List.of("/plans/", "/quotes/"), List.of(KEY));
        for (int i = 0; i < 3; i++) {
            lab.node("frontend-z1-" + i, lab.store.port());
        }
        lab.awaitReady();
        String full = "/plans/00000000000000f0";
        lab.await(
                () -> lab.consumer(lab.nodes.get(0), "POST", full, KEY, Lab.job(7, 8, 40_000)).status() == 200,
                20_000,
                "no job is accepted");
        lab.await(() -> lab.workers.stream().filter(w -> w.runs() > 0).count() == 7, 20_000, "seven workers are not busy");
        Lab.sleep(4000);
        Worker free = lab.workers.stream().filter(w -> w.runs() == 0).findFirst().get();
        if (lab.trouble) {
            free.silent(true);
        }
        Lab.sleep(300);
        List<String> jobs = new ArrayList<>();
        List<Long> acceptedAtMs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = "00000000000000a" + i;
            if (lab.consumer(lab.nodes.get(i % 3), "POST", "/quotes/" + id, KEY, Lab.job(1, 1, 2000)).status() == 200) {
                jobs.add(id);
                acceptedAtMs.add(lab.recorder.nowMs());
            }
        }
        String seen = "";
        int wrong = 0;
        int asked = 0;
        long endMs = lab.recorder.nowMs() + 16_000;
        while (lab.recorder.nowMs() < endMs) {
            for (Lab.Node node : lab.nodes) {
                Set<String> waiting = new HashSet<>();
                for (int i = 0; i < jobs.size(); i++) {
                    if (lab.recorder.nowMs() - acceptedAtMs.get(i) > VISIBLE_MS + SLACK_MS) {
                        waiting.add(jobs.get(i));
                    }
                }
                Lab.Reply reply = lab.consumer(node, "GET", "/quotes/", KEY, "");
                Matcher pending = Pattern.compile("\"pending\":(\\d+)").matcher(reply.body());
                waiting.removeAll(begun);
                if (pending.find() && !waiting.isEmpty()) {
                    asked++;
                    if (2 * Integer.parseInt(pending.group(1)) < waiting.size()) {
                        wrong++;
                        seen = "pending " + pending.group(1) + " while " + waiting.size()
                                + " jobs accepted over 5 s before have not begun";
                        lab.recorder.line("case", "wrong:", seen);
                    }
                }
            }
            Lab.sleep(200);
        }
        lab.recorder.say(wrong + " of " + asked + " answers while such jobs waited are under half; last: " + seen);
        lab.finish(wrong > 0, "MIXED, pending under half of the jobs that have not begun");
    }
}

package case12;

import standins3.ArrayNode;
import standins3.Case;
import standins3.Deployment;
import standins3.ObjectNode;
import standins3.Record;
import standins3.Worker;

/**
 * A new version of the config adds a tenant whose name consists of two words. All nodes are then stopped and started in
 * turn, while a job is at work.
 */
public final class TenantName {

    private static final String SERVICE = "franchise-desk";
    private static final String KEY = "d4a3hwrr6x73d3zji9n7";
    private static final String ADDED_KEY = "9pq4k2mz7c5vtw8y1xab";
    private static final String PREFIX = "/lohu930/";
    private static final String JOB = PREFIX + "5c0e7a21d94b36f8";
    private static final String LAST_TASK = "5c0e7a21d94b36f8.0.2.0";
    private static final int NODES = 3;
    private static final long RUN_MS = 8000;

    /** Time in ms from the acknowledgement of the version to the first stop: {@code configApplyMs} and a second. */
    private static final long BEFORE_STOPS_MS = 3000;

    /** Time in ms between the start of a node and the stop of the next one. */
    private static final long GAP_MS = 2000;

    private static final long FINISH_MS = 14_000;
    private static final long WATCHED_MS = 30_000;
    private static final long STANDING_MS = 3000;

    private TenantName() {}

    public static void main(String[] arguments) {
        Case.run(arguments[0], TenantName::play);
    }

    private static String play(Deployment deployment, Record record, boolean trouble) throws Exception {
        try (Worker worker =
                        new Worker("i-7f3a91c0", "a", "r1-1", SERVICE, deployment.store(), record, task -> RUN_MS);
                Worker other =
                        new Worker("i-7f3a91c1", "a", "r1-1", SERVICE, deployment.store(), record, task -> RUN_MS)) {
            return play(deployment, record, worker, other, trouble);
        }
    }

    private static ObjectNode config(int version) {
        ObjectNode config = Deployment.emptyConfig(version, SERVICE);
        Deployment.addRoute(config, "bundle-plan", PREFIX, SERVICE, false);
        Deployment.addTenant(config, "kaje80", KEY);
        return config;
    }

    /** Returns a job of three work items, each of which needs the end of the one before. */
    private static String jobOfThreeSteps() {
        ObjectNode body = new ObjectNode().put("spec", "plan");
        ArrayNode steps = body.putArray("steps");
        for (int i = 0; i < 3; i++) {
            ObjectNode step = steps.addObject();
            step.put("count", 1).put("cpu", 4000).put("requestedMemoryMb", 1000).put("estimatedMs", RUN_MS);
            if (i > 0) {
                step.putArray("after").add(i - 1);
            }
        }
        return body.toString();
    }

    private static String play(Deployment deployment, Record record, Worker worker, Worker other, boolean trouble)
            throws Exception {
        deployment.config(config(7));
        deployment.startNodes(NODES);
        worker.start(0);
        other.start(0);
        if (!deployment.awaitReady(20_000)) {
            throw new Case.NotRunException("the nodes are not ready");
        }
        Thread.sleep(2000);
        ObjectNode next = config(8);
        Deployment.addTenant(next, trouble ? "Savusavu Shop" : "SavusavuShop", ADDED_KEY);
        deployment.config(next);
        Thread.sleep(BEFORE_STOPS_MS);
        int status = deployment
                .call(deployment.nodes().get(0), "POST", JOB, KEY, jobOfThreeSteps())
                .status();
        if (status != 200) {
            throw new Case.NotRunException("the job was not accepted");
        }
        Thread.sleep(1000);
        for (Deployment.Node node : deployment.nodes()) {
            deployment.restart(node);
            Thread.sleep(GAP_MS);
        }
        long restartedMs = record.nowMs();
        Thread.sleep(FINISH_MS);
        int shown = 0;
        long standingSinceMs = record.nowMs();
        while (record.nowMs() - restartedMs < WATCHED_MS) {
            for (Deployment.Node node : deployment.nodes()) {
                Deployment.Reply reply = deployment.call(node, "GET", JOB, KEY, "");
                shown += reply.status() == 200 ? 1 : 0;
                if (reply.field("state").equals("completed")) {
                    return "";
                }
            }
            if (!worker.running().isEmpty() || !other.running().isEmpty()) {
                standingSinceMs = record.nowMs();
            }
            Thread.sleep(1000);
        }
        long standingMs = record.nowMs() - standingSinceMs;
        deployment.call(deployment.nodes().get(0), "GET", JOB, ADDED_KEY, "");
        boolean workLeft = !worker.hasDone(LAST_TASK) && !other.hasDone(LAST_TASK);
        return workLeft && standingMs >= STANDING_MS
                ? "LOST: from finish_s on nothing of the job has run for " + standingMs + " ms on idle workers, its last "
                        + "work item isn't done, and " + shown + " calls have told its state"
                : "";
    }
}

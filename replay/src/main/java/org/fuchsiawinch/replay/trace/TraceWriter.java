package org.fuchsiawinch.replay.trace;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerSpec;

/** Writes traces in the format that {@link TraceReader} reads. Stateless; thread-safe. */
public final class TraceWriter {

    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Returns a trace as text.
     *
     * @param trace the trace
     * @return text of the trace, one JSON object per line
     */
    public String write(Trace trace) {
        StringBuilder text = new StringBuilder();
        ObjectNode header = mapper.createObjectNode()
                .put("type", "trace")
                .put("format", Trace.FORMAT)
                .put("name", trace.name())
                .put("horizonMs", trace.horizonMs());
        text.append(header).append('\n');
        for (TraceEvent event : trace.events()) {
            text.append(line(event)).append('\n');
        }
        return text.toString();
    }

    private ObjectNode line(TraceEvent event) {
        ObjectNode node = mapper.createObjectNode();
        if (event instanceof TraceEvent.WorkerJoins joins) {
            putWorker(start(node, "worker", event), joins.worker());
        } else if (event instanceof TraceEvent.Submit submit) {
            putJob(start(node, "submit", event), submit.job());
        } else if (event instanceof TraceEvent.Cancel cancel) {
            start(node, "cancel", event).put("job", cancel.job().value());
        } else if (event instanceof TraceEvent.WorkerLost lost) {
            start(node, "worker-lost", event).put("worker", lost.worker().value());
        } else if (event instanceof TraceEvent.WorkerSilent silent) {
            start(node, "worker-silent", event).put("worker", silent.worker().value());
        } else if (event instanceof TraceEvent.WorkerBack back) {
            start(node, "worker-back", event).put("worker", back.worker().value());
        } else if (event instanceof TraceEvent.WorkerLeaving leaving) {
            start(node, "worker-leaving", event).put("worker", leaving.worker().value());
        } else if (event instanceof TraceEvent.WorkerFaulty faulty) {
            start(node, "worker-faulty", event)
                    .put("worker", faulty.worker().value())
                    .put("untilMs", faulty.untilMs());
        } else if (event instanceof TraceEvent.UsageLag lag) {
            start(node, "usage-lag", event).put("lagMs", lag.lagMs());
        } else if (event instanceof TraceEvent.LogOutage outage) {
            start(node, "log-outage", event).put("untilMs", outage.untilMs());
        } else if (event instanceof TraceEvent.DocumentChange change) {
            start(node, "document", event).put("file", change.file());
        }
        return node;
    }

    private static ObjectNode start(ObjectNode node, String type, TraceEvent event) {
        return node.put("type", type).put("atMs", event.atMs());
    }

    private static void putWorker(ObjectNode node, WorkerSpec worker) {
        node.put("worker", worker.id().value())
                .put("dataCentre", worker.dataCentre())
                .put("rack", worker.rack());
        putResources(node, worker.capacity(), 8, 64);
        node.put("speed", worker.speed());
    }

    private static void putJob(ObjectNode node, TraceJob job) {
        JobSpec spec = job.spec();
        node.put("job", spec.id().value())
                .put("workspace", spec.workspace().value())
                .put("kind", spec.kind())
                .put("parts", spec.shape().parts());
        putResources(node, spec.shape().perPart(), 1, 1);
        if (spec.shape().adjacency() != Adjacency.WORKER) {
            node.put("adjacency", spec.shape().adjacency().name());
        }
        node.put("declaredRunMs", spec.declaredRunMs()).put("trueRunMs", job.trueRunMs());
        if (job.trueMemoryMb() != spec.shape().perPart().memoryMb()) {
            node.put("trueMemoryMb", job.trueMemoryMb());
        }
        if (!spec.idempotent()) {
            node.put("idempotent", false);
        }
        if (spec.checkpointable()) {
            node.put("checkpointable", true);
        }
        if (job.checkpointMs() != TraceJob.DEFAULT_CHECKPOINT_MS) {
            node.put("checkpointMs", job.checkpointMs());
        }
        if (spec.urgency() != Urgency.NORMAL) {
            node.put("urgency", spec.urgency().name());
        }
        if (spec.deadlineMs().isPresent()) {
            node.put("deadlineMs", spec.deadlineMs().getAsLong());
        }
        if (job.alwaysFails()) {
            node.put("alwaysFails", true);
        }
    }

    private static void putResources(ObjectNode node, Resources amount, int slots, int connections) {
        node.put("cpuMillis", amount.cpuMillis())
                .put("memoryMb", amount.memoryMb())
                .put("accelerators", amount.accelerators());
        if (amount.slots() != slots) {
            node.put("slots", amount.slots());
        }
        if (amount.connections() != connections) {
            node.put("connections", amount.connections());
        }
    }
}

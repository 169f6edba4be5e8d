package org.fuchsiawinch.replay.trace;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.JobId;
import org.fuchsiawinch.model.JobSpec;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.model.WorkerId;
import org.fuchsiawinch.model.WorkerSpec;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.replay.trace.internal.LineFields;

/**
 * Reads traces in JSON Lines and collects all problems in one pass. Keeps no state between calls; thread-safe.
 */
public final class TraceReader {

    private static final long MAX_TIME_MS = 366L * 24 * 3_600_000;
    private static final int MAX_PARTS = 4_096;
    private static final int MAX_AMOUNT = 100_000_000;
    private static final double MIN_SPEED = 0.01;
    private static final double MAX_SPEED = 100.0;

    private final ObjectMapper mapper = new ObjectMapper()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /**
     * Reads a trace.
     *
     * @param fileName file name that problems state
     * @param text text of the trace, one JSON object per line; blank lines are skipped
     * @return the trace, or all problems
     */
    public TraceReadResult read(String fileName, String text) {
        TraceParser parser = new TraceParser(fileName);
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            if (!line.isBlank()) {
                parser.readLine(number, line.strip());
            }
        }
        return parser.result();
    }

    /** State of reading one trace. */
    private final class TraceParser {

        private final String file;
        private final List<TraceProblem> problems = new ArrayList<>();
        private final List<TraceEvent> events = new ArrayList<>();
        private final Set<WorkerId> workers = new HashSet<>();
        private final Set<JobId> jobs = new HashSet<>();
        private String name;
        private long horizonMs;
        private long lastMs;
        private boolean first = true;

        private TraceParser(String file) {
            this.file = file;
        }

        private TraceReadResult result() {
            if (first) {
                problems.add(new TraceProblem(file, 1, "", TraceFault.HEADER_MISSING));
            }
            return problems.isEmpty()
                    ? new TraceReadResult.Accepted(new Trace(name, horizonMs, events))
                    : new TraceReadResult.Rejected(problems);
        }

        private void readLine(int number, String line) {
            boolean header = first;
            first = false;
            ObjectNode node = parse(number, line);
            if (node == null) {
                return;
            }
            LineFields fields = new LineFields(file, number, node, problems);
            String type = fields.text("type");
            if (header) {
                readHeader(type, fields);
            } else {
                readEvent(type, fields);
            }
        }

        private ObjectNode parse(int number, String line) {
            try {
                JsonNode node = mapper.readTree(line);
                if (node instanceof ObjectNode object) {
                    return object;
                }
            } catch (JsonProcessingException e) {
                problems.add(new TraceProblem(file, number, "", TraceFault.NOT_JSON));
                return null;
            }
            problems.add(new TraceProblem(file, number, "", TraceFault.NOT_JSON));
            return null;
        }

        private void readHeader(String type, LineFields fields) {
            if (!type.equals("trace")) {
                fields.report("type", TraceFault.HEADER_MISSING);
                return;
            }
            if (fields.number("format", 1, Integer.MAX_VALUE) != Trace.FORMAT) {
                fields.report("format", TraceFault.FORMAT_UNKNOWN);
            }
            name = fields.text("name");
            horizonMs = fields.number("horizonMs", 1, MAX_TIME_MS);
            fields.reportUnknownFields();
        }

        private void readEvent(String type, LineFields fields) {
            if (type.equals("trace")) {
                fields.report("type", TraceFault.HEADER_REPEATED);
                return;
            }
            long atMs = time(fields);
            int before = problems.size();
            TraceEvent event = event(type, atMs, fields);
            if (event == null) {
                fields.report("type", TraceFault.TYPE_UNKNOWN);
                return;
            }
            fields.reportUnknownFields();
            if (problems.size() == before) {
                events.add(event);
            }
        }

        private long time(LineFields fields) {
            long atMs = fields.number("atMs", 0, MAX_TIME_MS);
            if (atMs < lastMs) {
                fields.report("atMs", TraceFault.TIME_FALLS);
            }
            lastMs = Math.max(lastMs, atMs);
            return atMs;
        }

        private TraceEvent event(String type, long atMs, LineFields fields) {
            return switch (type) {
                case "worker" -> new TraceEvent.WorkerJoins(atMs, worker(fields));
                case "submit" -> new TraceEvent.Submit(atMs, job(fields));
                case "cancel" -> new TraceEvent.Cancel(atMs, knownJob(fields));
                case "worker-lost" -> new TraceEvent.WorkerLost(atMs, knownWorker(fields));
                case "worker-silent" -> new TraceEvent.WorkerSilent(atMs, knownWorker(fields));
                case "worker-back" -> new TraceEvent.WorkerBack(atMs, knownWorker(fields));
                case "worker-leaving" -> new TraceEvent.WorkerLeaving(atMs, knownWorker(fields));
                case "worker-faulty" ->
                    new TraceEvent.WorkerFaulty(
                            atMs, knownWorker(fields), fields.number("untilMs", atMs + 1, MAX_TIME_MS));
                case "usage-lag" -> new TraceEvent.UsageLag(atMs, fields.number("lagMs", 0, MAX_TIME_MS));
                case "log-outage" -> new TraceEvent.LogOutage(atMs, fields.number("untilMs", atMs + 1, MAX_TIME_MS));
                case "document" -> new TraceEvent.DocumentChange(atMs, fields.text("file"));
                default -> null;
            };
        }

        private WorkerSpec worker(LineFields fields) {
            WorkerId id = fields.id("worker", WorkerId::new);
            if (!workers.add(id)) {
                fields.report("worker", TraceFault.WORKER_REPEATED);
            }
            return new WorkerSpec(
                    id,
                    fields.text("dataCentre"),
                    fields.text("rack"),
                    resources(fields, 8, 64),
                    fields.decimal("speed", MIN_SPEED, MAX_SPEED));
        }

        private TraceJob job(LineFields fields) {
            JobId id = fields.id("job", JobId::new);
            if (!jobs.add(id)) {
                fields.report("job", TraceFault.JOB_REPEATED);
            }
            int parts = (int) fields.number("parts", 1, MAX_PARTS);
            Resources perPart = resources(fields, 1, 1);
            Shape shape = new Shape(parts, perPart, fields.constant("adjacency", Adjacency.class, Adjacency.WORKER));
            long declaredMs = fields.number("declaredRunMs", 1, MAX_TIME_MS);
            JobSpec spec = new JobSpec(
                    id,
                    fields.id("workspace", WorkspaceId::new),
                    fields.text("kind"),
                    shape,
                    declaredMs,
                    fields.flag("idempotent", true),
                    fields.flag("checkpointable", false),
                    fields.constant("urgency", Urgency.class, Urgency.NORMAL),
                    deadline(fields));
            return new TraceJob(
                    spec,
                    fields.number("trueRunMs", 1, MAX_TIME_MS, declaredMs),
                    (int) fields.number("trueMemoryMb", 0, MAX_AMOUNT, perPart.memoryMb()),
                    fields.number("checkpointMs", 0, MAX_TIME_MS, TraceJob.DEFAULT_CHECKPOINT_MS),
                    fields.flag("alwaysFails", false));
        }

        private OptionalLong deadline(LineFields fields) {
            return fields.has("deadlineMs")
                    ? OptionalLong.of(fields.number("deadlineMs", 1, MAX_TIME_MS))
                    : OptionalLong.empty();
        }

        private Resources resources(LineFields fields, int slots, int connections) {
            return new Resources(
                    (int) fields.number("cpuMillis", 0, MAX_AMOUNT),
                    (int) fields.number("memoryMb", 0, MAX_AMOUNT),
                    (int) fields.number("accelerators", 0, MAX_AMOUNT),
                    (int) fields.number("slots", 0, MAX_AMOUNT, slots),
                    (int) fields.number("connections", 0, MAX_AMOUNT, connections));
        }

        private JobId knownJob(LineFields fields) {
            JobId id = fields.id("job", JobId::new);
            if (!jobs.contains(id)) {
                fields.report("job", TraceFault.JOB_UNKNOWN);
            }
            return id;
        }

        private WorkerId knownWorker(LineFields fields) {
            WorkerId id = fields.id("worker", WorkerId::new);
            if (!workers.contains(id)) {
                fields.report("worker", TraceFault.WORKER_UNKNOWN);
            }
            return id;
        }
    }
}

package org.fuchsiawinch.report.records;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.report.records.RecordProblem.Code;

/**
 * Reads files of records. Rejects the whole file if any line is invalid, since a mistyped field that was ignored could
 * hide bad events. Immutable and thread-safe.
 */
public final class RecordsReader {

    private static final int MAX_PROBLEMS = 20;

    private final ObjectMapper mapper = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Creates a reader. */
    public RecordsReader() {}

    /**
     * Reads all lines. Skips blank lines, and counts a job that occurs twice with the same fields once, so that the
     * files of several nodes can be concatenated. Stops at the line with problem number {@value #MAX_PROBLEMS}.
     *
     * @param file name of the file, for the locations of problems
     * @param source text of the file; closed by this method
     * @return the records, or the problems found, which include an I/O error
     */
    public RecordsResult read(String file, Reader source) {
        Map<String, JobRecord> jobs = new LinkedHashMap<>();
        List<SystemSample> samples = new ArrayList<>();
        List<SpendSample> spends = new ArrayList<>();
        List<RecordProblem> problems = new ArrayList<>();
        long lineNumber = 0;
        try (BufferedReader lines = new BufferedReader(source)) {
            for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                lineNumber++;
                Optional<RecordLine> line = parse(file, lineNumber, text, problems);
                if (line.isPresent()) {
                    addRecord(line.get(), jobs, samples, spends);
                }
                if (problems.size() >= MAX_PROBLEMS) {
                    break;
                }
            }
        } catch (IOException problem) {
            problems.add(new RecordProblem(file, lineNumber + 1, "", Code.UNREADABLE, problem.toString()));
        }
        return problems.isEmpty()
                ? new RecordsResult.Accepted(new Records(List.copyOf(jobs.values()), samples, spends))
                : new RecordsResult.Rejected(problems);
    }

    private Optional<RecordLine> parse(String file, long lineNumber, String text, List<RecordProblem> problems) {
        if (text.isBlank()) {
            return Optional.empty();
        }
        try {
            JsonNode node = mapper.readTree(text);
            if (node.isObject()) {
                return Optional.of(new RecordLine(node, file, lineNumber, problems));
            }
            problems.add(new RecordProblem(file, lineNumber, "", Code.MALFORMED, "not a JSON object"));
        } catch (JsonProcessingException problem) {
            problems.add(new RecordProblem(file, lineNumber, "", Code.MALFORMED, problem.getOriginalMessage()));
        }
        return Optional.empty();
    }

    private static void addRecord(
            RecordLine line, Map<String, JobRecord> jobs, List<SystemSample> samples, List<SpendSample> spends) {
        String type = line.text("type");
        if (type.equals("job")) {
            readJob(line).ifPresent(job -> addJob(line, job, jobs));
        } else if (type.equals("sample")) {
            samples.add(new SystemSample(
                    line.timeMs("atMs"),
                    line.share("fragmentation"),
                    line.count("queueLength"),
                    line.count("spendMicros")));
        } else if (type.equals("spend")) {
            readSpend(line).ifPresent(spends::add);
        } else {
            if (!type.isEmpty()) {
                line.addProblem("type", Code.UNKNOWN_TYPE, "'" + type + "' is not job, sample or spend");
            }
            return;
        }
        line.rejectUnknownFields();
    }

    private static void addJob(RecordLine line, JobRecord job, Map<String, JobRecord> jobs) {
        JobRecord earlier = jobs.putIfAbsent(job.job(), job);
        if (earlier != null && !earlier.equals(job)) {
            line.addProblem("job", Code.CONFLICT, "'" + job.job() + "' stands in an earlier line with other fields");
        }
    }

    private static Optional<JobRecord> readJob(RecordLine line) {
        String job = line.text("job");
        Optional<WorkspaceId> workspace = line.workspace();
        String kind = line.text("kind");
        boolean guaranteed = line.flag("guaranteed");
        long submittedMs = line.timeMs("submittedMs");
        OptionalLong startedMs = line.optionalTimeMs("startedMs");
        long endedMs = line.timeMs("endedMs");
        Optional<JobOutcome> outcome = line.outcome();
        boolean wholeAnswer = line.flag("wholeAnswer");
        long spendMicros = line.count("spendMicros");
        if (startedMs.isPresent() && startedMs.getAsLong() < submittedMs) {
            line.addProblem("startedMs", Code.INVALID, "before submittedMs");
        }
        if (endedMs < startedMs.orElse(submittedMs)) {
            line.addProblem("endedMs", Code.INVALID, "before the start or the submit");
        }
        if (startedMs.isEmpty() && outcome.filter(JobOutcome::ran).isPresent()) {
            line.addProblem("startedMs", Code.MISSING, "must be given for a job that ran");
        }
        if (workspace.isEmpty() || outcome.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new JobRecord(
                job,
                workspace.get(),
                kind,
                guaranteed,
                submittedMs,
                startedMs,
                endedMs,
                outcome.get(),
                wholeAnswer,
                spendMicros));
    }

    private static Optional<SpendSample> readSpend(RecordLine line) {
        long atMs = line.timeMs("atMs");
        Optional<WorkspaceId> workspace = line.workspace();
        long spentMicros = line.count("periodSpendMicros");
        return workspace.map(id -> new SpendSample(atMs, id, spentMicros));
    }
}

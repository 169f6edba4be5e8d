package org.fuchsiawinch.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;
import org.fuchsiawinch.model.Policy;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;
import org.fuchsiawinch.replay.trace.TraceFault;
import org.fuchsiawinch.replay.trace.TraceReadResult;
import org.fuchsiawinch.replay.trace.TraceReader;

/**
 * Loads a trace and all documents that it uses; a problem in any file rejects the whole input. Stateless; thread-safe.
 */
public final class ReplayLoader {

    private final TraceReader traces = new TraceReader();
    private final DocumentReader documents = new DocumentReader();

    /**
     * Loads all files of a replay. Documents that the trace puts in force are resolved against its directory and read
     * only if the trace is valid.
     *
     * @param traceFile file of the trace
     * @param documentFile file of the document in force from the start
     * @return the input, or the problems of all files read
     */
    public LoadResult load(Path traceFile, Path documentFile) {
        List<ReplayProblem> problems = new ArrayList<>();
        Optional<Trace> trace = readTrace(traceFile, problems);
        Optional<Policy> policy = readDocument(documentFile, 1, problems);
        Map<String, Policy> policiesByFile = new LinkedHashMap<>();
        trace.ifPresent(read -> readChangedDocuments(traceFile, read, policiesByFile, problems));
        if (trace.isEmpty() || policy.isEmpty() || !problems.isEmpty()) {
            return new LoadResult.Refused(problems);
        }
        return new LoadResult.Loaded(new ReplayInput(trace.get(), policy.get(), policiesByFile));
    }

    private Optional<Trace> readTrace(Path file, List<ReplayProblem> problems) {
        Optional<String> text = readFile(file, problems);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        TraceReadResult result = traces.read(file.toString(), text.get());
        if (result instanceof TraceReadResult.Accepted accepted) {
            return Optional.of(accepted.trace());
        }
        ((TraceReadResult.Rejected) result)
                .problems()
                .forEach(problem -> problems.add(new ReplayProblem(
                        problem.file(),
                        problem.line(),
                        problem.field(),
                        problem.fault().name())));
        return Optional.empty();
    }

    private Optional<Policy> readDocument(Path file, int version, List<ReplayProblem> problems) {
        Optional<String> text = readFile(file, problems);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        DocumentResult result = documents.read(file.toString(), text.get());
        if (result instanceof DocumentResult.Accepted accepted) {
            return Optional.of(accepted.document().withVersion(version).policy());
        }
        ((DocumentResult.Rejected) result)
                .problems()
                .forEach(problem -> problems.add(new ReplayProblem(
                        problem.file(),
                        problem.line(),
                        problem.field(),
                        problem.code().name())));
        return Optional.empty();
    }

    /**
     * Reads each document of the trace once. The initial document has version 1; the others are numbered from 2 in the
     * order of their first use.
     */
    private void readChangedDocuments(
            Path traceFile, Trace trace, Map<String, Policy> policiesByFile, List<ReplayProblem> problems) {
        int version = 1;
        for (TraceEvent event : trace.events()) {
            if (event instanceof TraceEvent.DocumentChange change && !policiesByFile.containsKey(change.file())) {
                version++;
                readDocument(traceFile.resolveSibling(change.file()), version, problems)
                        .ifPresent(policy -> policiesByFile.put(change.file(), policy));
            }
        }
    }

    private static Optional<String> readFile(Path file, List<ReplayProblem> problems) {
        try {
            return Optional.of(Files.readString(file));
        } catch (IOException e) {
            problems.add(new ReplayProblem(file.toString(), 0, "", TraceFault.FILE_UNREADABLE.name()));
            return Optional.empty();
        }
    }
}

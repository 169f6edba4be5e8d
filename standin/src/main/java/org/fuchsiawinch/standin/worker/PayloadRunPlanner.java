package org.fuchsiawinch.standin.worker;

import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Properties;

import org.fuchsiawinch.model.TaskFailure;
import org.fuchsiawinch.protocol.worker.WorkerCommand;

/**
 * Plans runs from payloads in Java properties format with the keys {@code run-ms} (default 100, also if it is not a
 * number), {@code answer} (default the job's kind of work) and {@code fail} (default false). The answer of part 3
 * is {@code answer} followed by {@code " part 3"} and a line feed. Runs whose payload cannot be parsed fail. The memory
 * used is the memory granted. Immutable and thread-safe.
 */
public final class PayloadRunPlanner implements RunPlanner {

    private static final long DEFAULT_RUN_MS = 100;

    /** Creates the planner. */
    public PayloadRunPlanner() {
        // stateless
    }

    @Override
    public PlannedRun plan(WorkerCommand.Prepare part) {
        Properties properties = parse(part.payload());
        String answer = properties.getProperty("answer", part.kind()) + " part "
                + part.task().part() + "\n";
        boolean fail = Boolean.parseBoolean(properties.getProperty("fail", "false"));
        return new PlannedRun(
                runMs(properties),
                answer.getBytes(StandardCharsets.UTF_8),
                fail ? Optional.of(TaskFailure.WORK_FAILED) : Optional.empty(),
                part.resources().memoryMb());
    }

    private static Properties parse(byte[] payload) {
        Properties properties = new Properties();
        try {
            properties.load(new StringReader(new String(payload, StandardCharsets.UTF_8)));
        } catch (IOException | IllegalArgumentException e) {
            properties.setProperty("fail", "true");
        }
        return properties;
    }

    private static long runMs(Properties properties) {
        try {
            return Long.parseLong(properties.getProperty("run-ms", Long.toString(DEFAULT_RUN_MS)));
        } catch (NumberFormatException e) {
            return DEFAULT_RUN_MS;
        }
    }
}

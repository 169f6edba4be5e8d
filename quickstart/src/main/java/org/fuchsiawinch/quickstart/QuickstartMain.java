package org.fuchsiawinch.quickstart;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.runtime.SettingsReader;
import org.fuchsiawinch.wire.JsonCodec;
import org.fuchsiawinch.wire.PlatformMessages;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Sends a sample load to running nodes, prints progress and results, and checks the promises to callers. */
public final class QuickstartMain {

    private static final Setting<String> NODES = Setting.text("nodes", "URLs of the nodes, separated by commas");
    private static final Setting<String> PLATFORM_URL =
            Setting.text("platform-url", "URL of the stand-in platform").withDefault("http://127.0.0.1:7400");
    private static final Setting<String> DOCUMENT =
            Setting.text("document", "file of the first document").withDefault("samples/lagilagi/document.yaml");
    private static final Setting<Long> JOBS =
            Setting.number("jobs", "number of jobs", 1, 100_000).withDefault("240");
    private static final Setting<Long> SPREAD_MS = Setting.number(
                    "spread-ms", "time in ms over which the jobs are sent", 0, 3_600_000)
            .withDefault("10000");
    private static final Setting<Long> SEED =
            Setting.number("seed", "seed of the load", 0, Long.MAX_VALUE).withDefault("7");
    private static final Setting<String> FOUNDING_TOKEN =
            Setting.text("founding-token", "token that founds the document").withDefault("sample-founding");
    private static final String OPERATOR_TOKEN = "sample-token-operator";
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(110);

    private QuickstartMain() {}

    /**
     * Starts the process; exits with a failure status if a promise is broken.
     *
     * @param arguments command-line flags
     */
    public static void main(String[] arguments) {
        SettingsReader reader = new SettingsReader(
                "fuchsiawinch-quickstart",
                "Sends a sample load to running nodes and checks the results.",
                List.of(NODES, PLATFORM_URL, DOCUMENT, JOBS, SPREAD_MS, SEED, FOUNDING_TOKEN));
        System.exit(Program.run(reader, arguments, System.out, System.err, QuickstartMain::run));
    }

    private static int run(Settings settings) {
        NodeClient nodes = new NodeClient(List.of(settings.value(NODES).split(",")));
        nodes.foundDocument(readFile(settings.value(DOCUMENT)), settings.value(FOUNDING_TOKEN))
                .block(RUN_TIMEOUT);
        System.out.println("document in force");
        long startMs = System.currentTimeMillis();
        int count = settings.value(JOBS).intValue();
        List<SampleJob> jobs = new SampleWorkload(settings.value(SEED), startMs).jobs(count);
        Map<String, JobResult> results = submitAll(nodes, jobs, settings.value(SPREAD_MS));
        List<String> broken = PromiseCheck.findBroken(jobs, results, fetchRuns(settings.value(PLATFORM_URL)));
        RecordSummary records =
                nodes.records(OPERATOR_TOKEN).map(RecordSummary::parse).block(RUN_TIMEOUT);
        System.out.print(ResultTable.render(jobs, results, records));
        System.out.println(
                "retries by callers: " + nodes.retries() + ", took " + (System.currentTimeMillis() - startMs) + " ms");
        System.out.println("promises checked: " + String.join(", ", PromiseCheck.CHECKED_PROMISES));
        System.out.println("promises broken: " + broken.size());
        broken.forEach(System.out::println);
        return broken.isEmpty() ? Program.EXIT_OK : Program.EXIT_FAILED;
    }

    private static Map<String, JobResult> submitAll(NodeClient nodes, List<SampleJob> jobs, long spreadMs) {
        Map<String, JobResult> results = new ConcurrentHashMap<>();
        Flux.range(0, jobs.size())
                .flatMap(
                        index -> Mono.delay(Duration.ofMillis(spreadMs * index / jobs.size()))
                                .flatMap(tick -> submit(nodes, jobs.get(index), results, jobs.size())),
                        jobs.size())
                .then()
                .timeout(RUN_TIMEOUT)
                .onErrorResume(error -> {
                    System.out.println("load ended early: " + error);
                    return Mono.empty();
                })
                .block();
        return results;
    }

    private static Mono<JobResult> submit(NodeClient nodes, SampleJob job, Map<String, JobResult> results, int total) {
        return nodes.runToCompletion(job, "sample-token-" + job.workspace()).doOnNext(result -> {
            results.put(job.id(), result);
            int done = results.size();
            if (done % Math.max(1, total / 8) == 0) {
                System.out.println("finished " + done + " of " + total);
            }
        });
    }

    private static PlatformMessages.RunList fetchRuns(String platformUrl) {
        byte[] body = HttpClient.create()
                .get()
                .uri(platformUrl + "/control/runs")
                .responseSingle((response, content) -> content.asByteArray())
                .block(Duration.ofSeconds(5));
        return new JsonCodec().decode(body, PlatformMessages.RunList.class);
    }

    private static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

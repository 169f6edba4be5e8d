package org.fuchsiawinch.quickstart;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Urgency;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.runtime.SettingsReader;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Measures running nodes: rate and latency of accepted requests, and the delay until a document change is in force. */
public final class MeasureMain {

    private static final Setting<String> NODES = Setting.text("nodes", "URLs of the nodes, separated by commas");
    private static final Setting<String> DOCUMENT =
            Setting.text("document", "file of the first document").withDefault("samples/lagilagi/document.yaml");
    private static final Setting<String> KEY = Setting.text("key", "private key that signs the changed section")
            .withDefault("samples/lagilagi/keys/finance.sample.pem");
    private static final Setting<Long> RATE =
            Setting.number("rate", "requests a second", 1, 100_000).withDefault("50");
    private static final Setting<Long> SECONDS =
            Setting.number("seconds", "length of the load in s", 1, 3600).withDefault("10");
    private static final Setting<Long> CHANGES =
            Setting.number("changes", "number of document changes", 0, 1000).withDefault("5");
    private static final Setting<Phase> PHASE =
            Setting.choice("phase", "what to measure", Phase.class).withDefault("load");
    private static final String FOUNDING_TOKEN = "sample-founding";
    private static final Duration TIMEOUT = Duration.ofMinutes(2);
    private static final long DEADLINE_MS = 600_000;
    /** Status that stands for a request without a response; it is counted as refused. */
    private static final int NO_RESPONSE = 0;

    /** Phase of the measurement; the names are values of the flag {@code --phase}. */
    private enum Phase {
        /** Founds the document, with retries until a node accepts it or has one in force already. */
        FOUND,
        /** Submits jobs at a constant rate and prints the latency percentiles. */
        LOAD,
        /** Changes the document and prints the nodes' delays until the change is in force, in order of arrival. */
        CHANGE
    }

    private MeasureMain() {}

    /**
     * Starts the process.
     *
     * @param arguments command-line flags
     */
    public static void main(String[] arguments) {
        SettingsReader reader = new SettingsReader(
                "fuchsiawinch-measure",
                "Measures running nodes of the quick start.",
                List.of(NODES, PHASE, DOCUMENT, KEY, RATE, SECONDS, CHANGES));
        System.exit(Program.run(reader, arguments, System.out, System.err, MeasureMain::run));
    }

    private static int run(Settings settings) {
        List<String> urls = List.of(settings.value(NODES).split(","));
        NodeClient nodes = new NodeClient(urls);
        if (settings.value(PHASE) == Phase.FOUND) {
            nodes.foundDocument(readFile(settings.value(DOCUMENT)), FOUNDING_TOKEN)
                    .block(TIMEOUT);
        } else if (settings.value(PHASE) == Phase.LOAD) {
            applyLoad(nodes, settings.value(RATE), settings.value(SECONDS));
        } else {
            DocumentChangeProbe probe = new DocumentChangeProbe(urls, readFile(settings.value(KEY)));
            for (int i = 0; i < settings.value(CHANGES); i++) {
                List<Long> delaysMs = probe.measureChange(i);
                System.out.println(
                        "in_force_ms=" + delaysMs.stream().map(String::valueOf).collect(Collectors.joining(",")));
            }
        }
        return Program.EXIT_OK;
    }

    private static void applyLoad(NodeClient nodes, long rate, long seconds) {
        long startMs = System.currentTimeMillis();
        int total = Math.toIntExact(rate * seconds);
        ConcurrentLinkedQueue<Long> latenciesMs = new ConcurrentLinkedQueue<>();
        AtomicInteger refused = new AtomicInteger();
        Flux.range(0, total)
                .flatMap(
                        index -> Mono.delay(Duration.ofMillis(1000L * index / rate))
                                .flatMap(tick -> submit(nodes, index, startMs, latenciesMs, refused)),
                        total)
                .then()
                .block(TIMEOUT);
        long tookMs = System.currentTimeMillis() - startMs;
        long[] sorted = latenciesMs.stream().mapToLong(Long::longValue).sorted().toArray();
        System.out.println("requests=" + total + " accepted=" + sorted.length + " refused=" + refused.get()
                + " accepted_per_s=" + (sorted.length * 1000L / Math.max(1, tookMs)) + " p50_ms="
                + percentile(sorted, 50) + " p99_ms=" + percentile(sorted, 99));
    }

    private static Mono<Integer> submit(
            NodeClient nodes, int index, long startMs, ConcurrentLinkedQueue<Long> latenciesMs, AtomicInteger refused) {
        long sentMs = System.currentTimeMillis();
        return nodes.submitOnce(job(index, startMs), "sample-token-certificates")
                .onErrorReturn(NO_RESPONSE)
                .doOnNext(status -> {
                    if (status == 200 || status == 202) {
                        latenciesMs.add(System.currentTimeMillis() - sentMs);
                    } else {
                        refused.incrementAndGet();
                    }
                });
    }

    private static SampleJob job(int index, long startMs) {
        return new SampleJob(
                "certificates",
                "m" + startMs + "-" + index,
                "certificate",
                1,
                new Resources(1000, 1024, 1, 1, 1),
                Adjacency.WORKER,
                6000,
                true,
                true,
                Urgency.NORMAL,
                OptionalLong.of(startMs + DEADLINE_MS),
                "run-ms=200\nanswer=m\n");
    }

    private static long percentile(long[] sorted, int percent) {
        return sorted.length == 0 ? -1 : sorted[Math.min(sorted.length - 1, sorted.length * percent / 100)];
    }

    private static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

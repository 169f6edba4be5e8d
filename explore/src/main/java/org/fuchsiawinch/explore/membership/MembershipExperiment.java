package org.fuchsiawinch.explore.membership;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.fuchsiawinch.runtime.EventLog;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.runtime.SettingsReader;

/** Command that measures membership protocols and prints a table of the results. */
public final class MembershipExperiment {

    private static final EventLog LOG = new EventLog(MembershipExperiment.class);
    private static final double MS_PER_S = 1_000.0;
    private static final String HEADER = "| protocol | nodes | loss % | sent B/s | sent+received B/s | busiest B/s "
            + "| join s | join busiest B/s | detect median s | detect max s | missed | spread median s "
            + "| arrival median s | leave s "
            + "| false deaths /node/h | dead in 2 s pause | dead in 10 s pause | others dead | agreed after s "
            + "| equal times, other views | equal views, other times |";

    /** Group sizes to measure. */
    public static final Setting<List<Integer>> NODES =
            numbers("nodes", "group sizes", 2, 10_000).withDefault("8");

    /** Message loss rates, in percent. */
    public static final Setting<List<Integer>> LOSS =
            numbers("loss", "percentage of messages lost", 0, 99).withDefault("0");

    /** Protocols to measure. */
    public static final Setting<List<ProtocolKind>> PROTOCOL = new Setting<>(
            "protocol",
            "protocols to measure",
            Optional.of("heartbeat,gossip"),
            text -> parseList(text, ProtocolKind::byLabel),
            "some of "
                    + Arrays.stream(ProtocolKind.values())
                            .map(ProtocolKind::label)
                            .collect(Collectors.joining(",")));

    /** Random seed of all trials. */
    public static final Setting<Long> SEED = Setting.number(
                    "seed", "random seed of loss, delay and protocol choices", 0, Long.MAX_VALUE)
            .withDefault("7");

    /** Duration of the steady phase, in virtual seconds. */
    public static final Setting<Long> STEADY = Setting.number(
                    "steady", "virtual seconds without faults other than message loss", 1, 1_000_000)
            .withDefault("120");

    /** Number of crashes, and of pauses of each length. */
    public static final Setting<Long> ROUNDS = Setting.number("rounds", "crashes, and pauses of each length", 0, 10_000)
            .withDefault("10");

    private MembershipExperiment() {}

    /**
     * Runs the command and ends the process with its exit status.
     *
     * @param arguments the command line; see {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    /**
     * Runs a trial for each combination of the given values and prints a table.
     *
     * @param arguments the command line
     * @param out receives the table or the help text
     * @param err receives the problems
     * @return 0, or 2 if the settings are invalid
     */
    public static int run(String[] arguments, PrintStream out, PrintStream err) {
        SettingsReader reader = new SettingsReader(
                "fuchsiawinch-membership",
                "Measures membership protocols on a virtual clock, each combination of nodes, loss and protocol.",
                List.of(NODES, LOSS, PROTOCOL, SEED, STEADY, ROUNDS));
        return Program.run(reader, arguments, out, err, settings -> runTrials(settings, out));
    }

    private static int runTrials(Settings settings, PrintStream out) {
        out.println(HEADER);
        out.println(HEADER.replaceAll("[^|]+", "---"));
        for (ProtocolKind kind : settings.value(PROTOCOL)) {
            for (int nodes : settings.value(NODES)) {
                for (int loss : settings.value(LOSS)) {
                    runTrial(
                            new TrialSettings(
                                    kind,
                                    nodes,
                                    loss,
                                    settings.value(SEED),
                                    settings.value(STEADY) * (long) MS_PER_S,
                                    Math.toIntExact(settings.value(ROUNDS))),
                            out);
                }
            }
        }
        return Program.EXIT_OK;
    }

    private static void runTrial(TrialSettings trial, PrintStream out) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long beforeNs = threads.getCurrentThreadCpuTime();
        MembershipTrial run = new MembershipTrial(trial);
        TrialResult result = run.run();
        double microsPerNodeSecond =
                (threads.getCurrentThreadCpuTime() - beforeNs) / (double) (trial.nodes() * run.virtualMs());
        out.println(tableRow(result));
        LOG.info(
                "membership-trial",
                "protocol",
                trial.kind().label(),
                "nodes",
                trial.nodes(),
                "loss_percent",
                trial.lossPercent(),
                "processor_us_per_node_s",
                String.format(Locale.ROOT, "%.1f", microsPerNodeSecond));
    }

    private static Setting<List<Integer>> numbers(String flag, String description, int least, int most) {
        Setting<Long> single = Setting.number(flag, description, least, most);
        return new Setting<>(
                flag,
                description,
                Optional.empty(),
                text -> parseList(text, part -> single.parser().apply(part).map(Math::toIntExact)),
                single.expected() + ", or several with commas");
    }

    private static <T> Optional<List<T>> parseList(String text, Function<String, Optional<T>> parser) {
        List<Optional<T>> values = Arrays.stream(text.split(",")).map(parser).toList();
        boolean valid = values.stream().allMatch(Optional::isPresent);
        return valid ? Optional.of(values.stream().map(Optional::orElseThrow).toList()) : Optional.empty();
    }

    private static String tableRow(TrialResult result) {
        TrialSettings settings = result.settings();
        TrialResult.Convergence convergence = result.convergence();
        return String.format(
                Locale.ROOT,
                "| %s | %d | %d | %.0f | %.0f | %.0f | %.1f | %.0f | %.1f | %.1f | %d | %.1f | %.1f | %.1f | %.3f"
                        + " | %d/%d | %d/%d | %d | %.1f | %s | %s |",
                settings.kind().label(),
                settings.nodes(),
                settings.lossPercent(),
                result.traffic().sentMean(),
                result.traffic().totalMean(),
                result.traffic().totalMax(),
                result.joinMs() / MS_PER_S,
                result.joinTraffic().totalMax(),
                result.detection().medianMs() / MS_PER_S,
                result.detection().maxMs() / MS_PER_S,
                result.missedDetections(),
                result.detectionSpread().medianMs() / MS_PER_S,
                result.arrival().medianMs() / MS_PER_S,
                result.leaveMs() / MS_PER_S,
                result.falseDeathsPerNodeHour(),
                result.shortPause().declaredDead(),
                result.shortPause().rounds(),
                result.longPause().declaredDead(),
                result.longPause().rounds(),
                result.shortPause().othersDeclaredDead() + result.longPause().othersDeclaredDead(),
                Math.max(
                                result.shortPause().agreedAfterMaxMs(),
                                result.longPause().agreedAfterMaxMs())
                        / MS_PER_S,
                percentage(convergence.wronglyEqual(), convergence.samples()),
                percentage(convergence.wronglyDifferent(), convergence.samples()));
    }

    private static String percentage(int part, int whole) {
        return whole == 0 ? "-" : String.format(Locale.ROOT, "%.2f%%", 100.0 * part / whole);
    }
}

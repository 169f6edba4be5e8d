package org.fuchsiawinch.explore.membership;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Command that measures membership protocols and prints a table of their figures. */
public final class MembershipExperiment {

    private static final int EXIT_USAGE = 2;
    private static final double MS_PER_S = 1_000.0;
    private static final String HEADER = "| protocol | nodes | loss % | sent B/s | sent+received B/s | busiest B/s "
            + "| join s | detect median s | detect max s | missed | spread median s | arrival median s | leave s "
            + "| false deaths /node/h | dead in 2 s pause | dead in 10 s pause | others dead | agreed after s "
            + "| equal times, other views | equal views, other times |";

    private MembershipExperiment() {}

    /**
     * Runs each combination of the given values.
     *
     * @param args the command line; see {@code --help}
     */
    public static void main(String[] args) {
        Options options = options();
        try {
            CommandLine line = new DefaultParser().parse(options, args);
            if (line.hasOption("help")) {
                usage(System.out);
                return;
            }
            run(line, System.out);
        } catch (ParseException | IllegalArgumentException problem) {
            System.err.println(problem.getMessage());
            usage(System.err);
            System.exit(EXIT_USAGE);
        }
    }

    private static Options options() {
        Options options = new Options();
        options.addOption(null, "nodes", true, "numbers of nodes");
        options.addOption(null, "loss", true, "lost messages in percent");
        options.addOption(null, "seed", true, "seed");
        options.addOption(null, "protocol", true, "protocols");
        options.addOption(null, "steady-seconds", true, "virtual seconds of the steady phase");
        options.addOption(null, "rounds", true, "crashes, and pauses of each length");
        options.addOption(null, "help", false, "print the usage");
        return options;
    }

    private static void usage(PrintStream out) {
        out.println("usage: fuchsiawinch-membership [--nodes N,..] [--loss PERCENT,..] [--protocol NAME,..]"
                + " [--seed S] [--steady-seconds S] [--rounds R]");
        out.println("protocols: "
                + String.join(
                        ", ",
                        Arrays.stream(ProtocolKind.values())
                                .map(ProtocolKind::label)
                                .toList()));
        out.println("example: fuchsiawinch-membership --nodes 8,50 --loss 0,5 --protocol gossip --seed 7");
    }

    private static void run(CommandLine line, PrintStream out) {
        List<TrialSettings> trials = new ArrayList<>();
        long seed = Long.parseLong(line.getOptionValue("seed", "7"));
        long steadyMs = number(line, "steady-seconds", "120", 1, 1_000_000).get(0) * 1_000L;
        int rounds = number(line, "rounds", "10", 0, 10_000).get(0);
        for (String name : line.getOptionValue("protocol", "heartbeat,gossip").split(",")) {
            ProtocolKind kind = ProtocolKind.byLabel(name)
                    .orElseThrow(() -> new IllegalArgumentException("--protocol: unknown: " + name));
            for (int nodes : number(line, "nodes", "8", 2, 10_000)) {
                for (int loss : number(line, "loss", "0", 0, 99)) {
                    trials.add(new TrialSettings(kind, nodes, loss, seed, steadyMs, rounds));
                }
            }
        }
        out.println(HEADER);
        out.println(HEADER.replaceAll("[^|]+", "---"));
        trials.forEach(trial -> out.println(row(new MembershipTrial(trial).run())));
    }

    private static List<Integer> number(CommandLine line, String option, String fallback, int least, int most) {
        List<Integer> numbers = new ArrayList<>();
        for (String text : line.getOptionValue(option, fallback).split(",")) {
            int value = parse(option, text);
            if (value < least || value > most) {
                throw new IllegalArgumentException("--" + option + ": outside " + least + ".." + most + ": " + text);
            }
            numbers.add(value);
        }
        return numbers;
    }

    private static int parse(String option, String text) {
        try {
            return Integer.parseInt(text.trim());
        } catch (NumberFormatException problem) {
            throw new IllegalArgumentException("--" + option + ": not a whole number: " + text, problem);
        }
    }

    private static String row(TrialResult result) {
        TrialSettings settings = result.settings();
        TrialResult.Convergence convergence = result.convergence();
        return String.format(
                Locale.ROOT,
                "| %s | %d | %d | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %d | %.1f | %.1f | %.1f | %.3f"
                        + " | %d/%d | %d/%d | %d | %.1f | %s | %s |",
                settings.kind().label(),
                settings.nodes(),
                settings.lossPercent(),
                result.traffic().sentMean(),
                result.traffic().bothMean(),
                result.traffic().bothMax(),
                result.joinMs() / MS_PER_S,
                result.detection().medianMs() / MS_PER_S,
                result.detection().maxMs() / MS_PER_S,
                result.missedVerdicts(),
                result.spread().medianMs() / MS_PER_S,
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
                share(convergence.wronglyEqual(), convergence.samples()),
                share(convergence.wronglyDifferent(), convergence.samples()));
    }

    private static String share(int part, int whole) {
        return whole == 0 ? "-" : String.format(Locale.ROOT, "%.2f%%", 100.0 * part / whole);
    }
}

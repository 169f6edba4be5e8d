package org.fuchsiawinch.explore;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.fuchsiawinch.protocol.ProtocolFeature;

/**
 * Command that runs seeded fault schedules. Prints the first broken promise of each failing seed and, for the first few
 * of these seeds, the shrunk list of events.
 */
public final class ExploreMain {

    private static final int USAGE_STATUS = 2;
    private static final int MAX_SHRUNK_SEEDS = 5;
    private static final int DEFAULT_THREADS = 4;

    private final PrintStream out;
    private final List<Long> failingSeeds = new ArrayList<>();
    private final FigureSummary figures = new FigureSummary();
    private long violations;

    private ExploreMain(PrintStream out) {
        this.out = out;
    }

    /**
     * Runs the command and exits with status 0 if no promise was broken, 1 if one was broken, or 2 on invalid
     * arguments.
     *
     * @param arguments the command line; see {@code --help}
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out));
    }

    static int run(String[] arguments, PrintStream out) {
        try {
            CommandLine line = new DefaultParser().parse(options(), arguments);
            if (line.hasOption("help")) {
                options()
                        .getOptions()
                        .forEach(option -> out.println("--" + option.getLongOpt() + (option.hasArg() ? " N  " : "  ")
                                + option.getDescription()));
                return 0;
            }
            long seed = Long.parseLong(line.getOptionValue("seed", "1"));
            if (line.hasOption("trace")) {
                return new ExploreMain(out).trace(seed);
            }
            int schedules = Integer.parseInt(line.getOptionValue("schedules", "2000"));
            int threads = Integer.parseInt(line.getOptionValue("threads", String.valueOf(DEFAULT_THREADS)));
            return new ExploreMain(out).explore(seed, schedules, threads);
        } catch (ParseException | NumberFormatException e) {
            out.println("event=bad_arguments detail=\"" + e.getMessage() + "\"");
            return USAGE_STATUS;
        }
    }

    private static Options options() {
        return new Options()
                .addOption(option("schedules", "number of schedules, by default 2000"))
                .addOption(option("seed", "first seed, by default 1"))
                .addOption(option("threads", "number of threads, by default 4"))
                .addOption(Option.builder()
                        .longOpt("trace")
                        .desc("print all steps of the one seed")
                        .get())
                .addOption(Option.builder()
                        .longOpt("help")
                        .desc("print the options")
                        .get());
    }

    private static Option option(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).get();
    }

    private int explore(long seed, int schedules, int threads) {
        Explorer explorer = new Explorer(ProtocolFeature.defaults());
        explorer.explore(seed, schedules, threads, result -> {
            figures.add(result.figures());
            if (!result.violations().isEmpty()) {
                report(explorer, result);
            }
            return true;
        });
        out.println(figures.text());
        out.println("event=explored schedules=" + schedules + " first_seed=" + seed + " broken_promises=" + violations
                + " red_seeds=" + failingSeeds);
        return failingSeeds.isEmpty() ? 0 : 1;
    }

    private void report(Explorer explorer, Explorer.Result result) {
        violations += result.violations().size();
        failingSeeds.add(result.schedule().seed());
        Violation first = result.violations().get(0);
        out.println("event=broken_promise seed=" + result.schedule().seed() + " promise=" + first.promise() + " at_ms="
                + first.atMs() + " detail=\"" + first.detail() + "\"");
        if (failingSeeds.size() > MAX_SHRUNK_SEEDS) {
            return;
        }
        Schedule shrunk = Shrinker.shrink(result.schedule(), schedule -> explorer.run(schedule).violations().stream()
                .anyMatch(violation -> violation.promise() == first.promise()));
        shrunk.events().forEach(event -> out.println("  " + event));
    }

    private int trace(long seed) {
        Explorer explorer = new Explorer(ProtocolFeature.defaults());
        Schedule schedule = ScheduleGenerator.generate(seed);
        schedule.jobs().forEach(job -> out.println(job));
        Explorer.Result result = explorer.run(schedule, out::println);
        result.violations().forEach(out::println);
        return result.violations().isEmpty() ? 0 : 1;
    }
}

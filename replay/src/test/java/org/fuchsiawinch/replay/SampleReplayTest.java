package org.fuchsiawinch.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.fuchsiawinch.replay.generate.TraceKind;
import org.fuchsiawinch.replay.measure.LowerBounds;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.replay.outcome.Measure;
import org.fuchsiawinch.replay.outcome.Outcome;
import org.fuchsiawinch.replay.outcome.OutcomeReadResult;
import org.fuchsiawinch.replay.outcome.OutcomeReader;
import org.fuchsiawinch.replay.outcome.Reference;
import org.fuchsiawinch.replay.outcome.Target;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Guards against changes of the scheduler that break a promise or miss an absolute target of a sample's outcome file
 * under the guarantee policy. Targets relative to the baselines are checked by the replay command.
 */
public class SampleReplayTest {

    private static final Path TRACES = Path.of("..", "samples", "traces");

    @DataProvider
    public Object[][] kinds() {
        return TraceKind.all().stream().map(kind -> new Object[] {kind.name()}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "kinds")
    public void noPromiseIsBroken(String kind) throws IOException {
        Outcome outcome = outcome(kind);
        LoadResult loaded =
                new ReplayLoader().load(TRACES.resolve(outcome.trace()), TRACES.resolve(outcome.document()));
        ReplayInput input = ((LoadResult.Loaded) loaded).input();
        ReplayResult result = new ReplayRunner().run(input, SchedulingPolicy.GUARANTEE, outcome.seed());
        assertEquals(result.violations(), List.of());
        Measures.JobCounts jobs = result.measures().jobs();
        assertTrue(jobs.completed() > jobs.submitted() / 2, jobs.toString());
        outcome.targets().stream()
                .filter(target -> target.reference() == Reference.NONE)
                .map(target -> target.evaluate(result.measures(), List.of(), LowerBounds.of(input.trace())))
                .forEach(verdict -> assertTrue(verdict.met(), verdict.toString()));
    }

    @Test(dataProvider = "kinds")
    public void outcomeHasTargetsForPromisesAndGuaranteedStarts(String kind) throws IOException {
        List<Target> targets = outcome(kind).targets();
        assertTrue(targets.contains(new Target(Measure.PROMISES_BROKEN, Reference.NONE, 0)));
        assertTrue(targets.contains(new Target(Measure.GUARANTEED_START, Reference.NONE, 1.0)));
    }

    private static Outcome outcome(String kind) throws IOException {
        String text = Files.readString(TRACES.resolve(kind + ".outcome.yaml"));
        return ((OutcomeReadResult.Accepted) new OutcomeReader().read(text)).outcome();
    }
}

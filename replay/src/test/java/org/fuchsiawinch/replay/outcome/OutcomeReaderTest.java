package org.fuchsiawinch.replay.outcome;

import org.fuchsiawinch.replay.outcome.OutcomeReadResult.OutcomeFault;
import org.fuchsiawinch.replay.outcome.OutcomeReadResult.OutcomeProblem;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that outcome files are read and that each kind of fault is reported with its line and field. */
public class OutcomeReaderTest {

    private static final String VALID = "trace: t.jsonl\ndocument: d.yaml\nseed: 3\ntargets:\n"
            + "  - {measure: completion-mean, relative-to: best-baseline, at-most: 0.85}\n";

    private final OutcomeReader reader = new OutcomeReader();

    @Test
    public void validFileIsRead() {
        Outcome outcome = ((OutcomeReadResult.Accepted) reader.read(VALID)).outcome();
        assertEquals(outcome.seed(), 3);
        assertEquals(outcome.targets().get(0), new Target(Measure.COMPLETION_MEAN, Reference.BEST_BASELINE, 0.85));
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {VALID.replace("seed: 3", "seed: x"), new OutcomeProblem(3, "seed", OutcomeFault.FIELD_INVALID)},
            {VALID.replace("trace: t.jsonl\n", ""), new OutcomeProblem(0, "trace", OutcomeFault.FIELD_MISSING)},
            {VALID.replace("completion-mean", "luck"), new OutcomeProblem(5, "measure", OutcomeFault.FIELD_INVALID)},
            {VALID.replace("best-baseline", "best"), new OutcomeProblem(5, "relative-to", OutcomeFault.FIELD_INVALID)},
            {"- 1", new OutcomeProblem(1, "", OutcomeFault.NOT_YAML)},
        };
    }

    @Test(dataProvider = "faults")
    public void faultIsReportedWithItsLocation(String text, OutcomeProblem problem) {
        OutcomeReadResult.Rejected rejected = (OutcomeReadResult.Rejected) reader.read(text);
        assertTrue(rejected.problems().contains(problem), rejected.toString());
    }
}

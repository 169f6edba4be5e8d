package org.fuchsiawinch.workflow;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.workflow.forecast.RunKind;
import org.fuchsiawinch.workflow.forecast.RunTimeForecast;
import org.fuchsiawinch.workflow.forecast.RunTimeModel;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against forecasts of run times that are moved by what they must not be moved by. */
public class RunTimeModelTest {

    /** Width of a bin, as a logarithm. */
    private static final double RESOLUTION = 0.1;

    private final RunTimeModel model = new RunTimeModel();

    private static RunKind kind(String workspace, String shape) {
        return new RunKind("quotes", new WorkspaceId(workspace), shape, false);
    }

    private static void add(RunTimeModel model, RunKind kind, int runs, double ratio) {
        for (int i = 0; i < runs; i++) {
            model.add(kind, ratio, true);
        }
    }

    private static double median(RunTimeModel model, RunKind kind) {
        return model.forecast(kind).map(RunTimeForecast::median).orElse(0.0);
    }

    @Test
    public void hasNoForecastFromFewRuns() {
        RunTimeModel fresh = new RunTimeModel();
        add(fresh, kind("ws", "1"), 7, 2);
        assertEquals(fresh.forecast(kind("ws", "1")), Optional.empty());
        add(fresh, kind("ws", "1"), 1, 2);
        assertEquals(median(fresh, kind("ws", "1")), Math.log(2), RESOLUTION);
    }

    // A few runs in a hundred take seven times as long.
    @Test
    public void keepsTheTailOutOfTheMedian() {
        Random random = new Random(1);
        for (int i = 0; i < 200; i++) {
            double ratio = Math.exp(0.3 * random.nextGaussian());
            model.add(kind("tail", "1"), i % 15 == 0 ? 7 * ratio : ratio, true);
        }
        RunTimeForecast forecast = model.forecast(kind("tail", "1")).orElseThrow();
        assertEquals(forecast.median(), 0, 2 * RESOLUTION);
        assertTrue(forecast.tail() > Math.log(3), "tail " + forecast.tail());
    }

    // Short runs complete before the others are preempted; counted as short, those would halve the forecast.
    @Test
    public void takesRunsThatWereEndedEarlyForLongerOnes() {
        RunTimeModel censored = new RunTimeModel();
        for (int i = 0; i < 40; i++) {
            censored.add(kind("ws", "1"), 2, true);
            censored.add(kind("ws", "1"), 0.5, false);
        }
        assertEquals(median(censored, kind("ws", "1")), Math.log(2), RESOLUTION);
    }

    @Test
    public void fallsBackToAnyShapeOfTheWorkspace() {
        RunTimeModel shapes = new RunTimeModel();
        add(shapes, kind("ws", "1"), 20, 2);
        add(shapes, kind("ws", "8"), 3, 4);
        assertEquals(median(shapes, kind("ws", "8")), Math.log(2), RESOLUTION);
        add(shapes, kind("ws", "8"), 20, 4);
        assertEquals(median(shapes, kind("ws", "8")), Math.log(4), RESOLUTION);
        assertEquals(median(shapes, kind("ws", "1")), Math.log(2), RESOLUTION);
    }

    @Test
    public void oneWorkspaceMovesNoForecastOfAnother() {
        RunTimeModel shared = new RunTimeModel();
        add(shared, kind("false", "1"), 200, 8);
        assertEquals(shared.forecast(kind("other", "1")), Optional.empty());
        add(shared, kind("honest", "1"), 20, 1.05);
        assertEquals(median(shared, kind("other", "1")), 0, RESOLUTION);
        assertEquals(median(shared, kind("honest", "1")), 0, RESOLUTION);
    }

    @Test
    public void workspacesThatAgreeMoveTheForecastOfANewOne() {
        RunTimeModel shared = new RunTimeModel();
        for (String workspace : List.of("a", "b", "c")) {
            add(shared, kind(workspace, "1"), 10, 2);
        }
        assertEquals(median(shared, kind("new", "1")), Math.log(2), RESOLUTION);
    }

    @Test
    public void oldRunsFade() {
        RunTimeModel changing = new RunTimeModel();
        add(changing, kind("ws", "1"), 1000, 4);
        add(changing, kind("ws", "1"), 260, 1);
        assertEquals(median(changing, kind("ws", "1")), 0, RESOLUTION);
    }

    @Test
    public void staysBounded() {
        RunTimeModel bounded = new RunTimeModel();
        for (int i = 0; i < 10_000; i++) {
            bounded.add(kind("ws" + i, "1"), 1, true);
        }
        assertTrue(bounded.groupsToStore().size() <= 24);
    }

    @Test
    public void successorForecastsTheSame() {
        RunTimeModel first = new RunTimeModel();
        add(first, kind("ws", "1"), 20, 2);
        first.add(kind("ws", "1"), 3, false);
        RunTimeModel next = new RunTimeModel();
        next.restore(first.groupsToStore());
        assertEquals(next.forecast(kind("ws", "1")), first.forecast(kind("ws", "1")));
    }

    @Test
    public void ignoresRatiosThatCannotBe() {
        RunTimeModel odd = new RunTimeModel();
        odd.add(kind("ws", "1"), 0, true);
        odd.add(kind("ws", "1"), Double.NaN, true);
        odd.add(kind("ws", "1"), Double.POSITIVE_INFINITY, true);
        assertEquals(odd.groupsToStore().size(), 0);
    }
}

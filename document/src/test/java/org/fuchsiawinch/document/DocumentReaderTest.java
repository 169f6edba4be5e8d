package org.fuchsiawinch.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.fuchsiawinch.model.Adjacency;
import org.fuchsiawinch.model.Guarantee;
import org.fuchsiawinch.model.Resources;
import org.fuchsiawinch.model.Shape;
import org.fuchsiawinch.model.WorkspaceId;
import org.fuchsiawinch.model.WorkspacePolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that valid documents compile and that each kind of problem is reported with its location. */
public final class DocumentReaderTest {

    private final DocumentReader reader = new DocumentReader();

    /** The sample documents are valid and compile to the values that they contain. */
    @Test
    public void compilesTheSamples() {
        Document document = Samples.accepted("lagilagi");
        WorkspacePolicy plans = document.policy().workspaces().get(new WorkspaceId("plans"));
        assertEquals(plans.acceleratorQuota(), 192);
        assertEquals(plans.spendLimitMicros(), OptionalLong.of(9_000_000_000L));
        assertEquals(plans.spendPeriodMs(), 86_400_000L);
        assertEquals(
                plans.guarantees().get(0),
                new Guarantee(new Shape(8, new Resources(3000, 12 * 1024, 1, 1, 4), Adjacency.RACK), 2));
        assertEquals(document.policy().lending().reclaimBoundMs(), 60_000L);
        assertEquals(document.policy().prices().lentAcceleratorHourMicros(), 1_200_000L);
        assertEquals(document.currency(), "FJD");
        assertEquals(document.access().workspaceOf("sample-token-plans"), Optional.of(new WorkspaceId("plans")));
        assertEquals(document.access().operatorOf("sample-token-operator"), Optional.of("office"));
        assertEquals(document.access().workspaceOf("sample-token-operator"), Optional.empty());
        assertTrue(Samples.accepted("bureau").policy().objective().fragmentationShare() > 0.5);
    }

    /** The texts of the sections, concatenated in order, are the whole text. */
    @Test
    public void splitsTheTextIntoSections() {
        Document document = Samples.accepted("lagilagi");
        String joined = List.of(
                        Section.TEAMS,
                        Section.CAPACITY,
                        Section.OBJECTIVE,
                        Section.SPENDING,
                        Section.SERVICE_LEVELS,
                        Section.ACCESS)
                .stream()
                .map(document.sectionTexts()::get)
                .reduce("", String::concat);
        assertEquals(joined, document.text());
        assertTrue(document.sectionTexts().get(Section.OBJECTIVE).contains("# Ferries do not wait"));
    }

    @DataProvider
    Object[][] faults() {
        return new Object[][] {
            {"checkpoint: 20s", "checkpoint: 20", "capacity.lending.checkpoint", ProblemCode.WRONG_UNIT},
            {"checkpoint: 20s", "checkpoint: 20MiB", "capacity.lending.checkpoint", ProblemCode.WRONG_UNIT},
            {"checkpoint: 20s", "checkpoint: [20s]", "capacity.lending.checkpoint", ProblemCode.WRONG_TYPE},
            {"checkpoint: 20s", "checkpoint:", "capacity.lending.checkpoint", ProblemCode.WRONG_TYPE},
            {"checkpoint: 20s", "checkpoint: 2h", "capacity.lending.checkpoint", ProblemCode.OUT_OF_BOUNDS},
            {"checkpoint: 20s", "checkpoint: 61s", "capacity.lending.checkpoint", ProblemCode.CONTRADICTION},
            {"checkpoint: 20s", "check: 20s", "capacity.lending.check", ProblemCode.UNKNOWN_FIELD},
            {"enabled: true", "enabled: yes", "capacity.lending.enabled", ProblemCode.MALFORMED_VALUE},
            {
                "quantile: 0.9",
                "time-overrun-factor: 0.5",
                "capacity.estimates.time-overrun-factor",
                ProblemCode.CONTRADICTION
            },
            {"quantile: 0.9", "quantile: .nan", "capacity.estimates.quantile", ProblemCode.MALFORMED_VALUE},
            {
                "accelerator-quota: 192",
                "accelerator-quota: 47",
                "capacity.workspaces.plans.accelerator-quota",
                ProblemCode.CONTRADICTION
            },
            {
                "adjacency: rack",
                "adjacency: building",
                "capacity.workspaces.plans.guarantees[0].adjacency",
                ProblemCode.UNKNOWN_VALUE
            },
            {"parts: 8", "parts: 65", "capacity.workspaces.plans.guarantees[0].parts", ProblemCode.OUT_OF_BOUNDS},
            {"    reorders:", "    Reorders:", "capacity.workspaces.Reorders", ProblemCode.MALFORMED_VALUE},
            {"currency: FJD", "currency: fjd", "spending.currency", ProblemCode.MALFORMED_VALUE},
            {"amount: 9000.00", "amount: -1", "spending.limits.plans.amount", ProblemCode.MALFORMED_VALUE},
            {"amount: 9000.00", "amount: 1.1234567", "spending.limits.plans.amount", ProblemCode.MALFORMED_VALUE},
            {"    plans: {amount", "    plan: {amount", "spending.limits.plan", ProblemCode.UNKNOWN_REFERENCE},
            {"completion-weight: 0.85", "", "objective.completion-weight", ProblemCode.MISSING_FIELD},
            {"objective:", "objectives:", "objectives", ProblemCode.UNKNOWN_FIELD},
            {"    sections: [spending]", "    sections: [capacity]", "teams.finance.sections", ProblemCode.CONTRADICTION
            },
            {"    sections: [spending]", "    sections: []", "teams.finance.sections", ProblemCode.MISSING_FIELD},
            {"public-key: M", "public-key: N", "teams.office.public-key", ProblemCode.MALFORMED_VALUE},
            {"  lending:", "  lending: &shared", "capacity.lending", ProblemCode.SYNTAX},
            {"  lending:", "  lending: !java.util.Date", "capacity.lending", ProblemCode.SYNTAX},
            {"objective:", "\"objective\":", "objective", ProblemCode.SYNTAX},
            {"objective:", "objective: {", "", ProblemCode.SYNTAX},
            {"\nobjective:", "\n---\nobjective:", "", ProblemCode.SYNTAX},
            {"\nobjective:", "\u2028\nobjective:", "", ProblemCode.SYNTAX}
        };
    }

    /** Each fault is reported with the path of its field and its code. */
    @Test(dataProvider = "faults")
    public void reportsTheFault(String from, String to, String field, ProblemCode code) {
        String text = Samples.text("lagilagi");
        int at = text.indexOf(from);
        assertTrue(at >= 0, from);
        String changed = text.substring(0, at) + to + text.substring(at + from.length());
        List<DocumentProblem> problems = problems(changed);
        assertTrue(problems.stream().anyMatch(p -> p.field().equals(field) && p.code() == code), problems.toString());
    }

    /** All problems of a file are reported at once, each with its own line. */
    @Test
    public void reportsAllProblemsWithTheirLines() {
        String text = Samples.text("lagilagi")
                .replace("quantile: 0.9", "quantile: 2")
                .replace("currency: FJD", "currency: FJD\n  currency: FJD")
                .replace("retry-after: 5s", "retry-after: 5");
        Map<String, ProblemCode> expected = Map.of(
                "capacity.estimates.quantile", ProblemCode.OUT_OF_BOUNDS,
                "spending.currency", ProblemCode.DUPLICATE_KEY,
                "capacity.admission.retry-after", ProblemCode.WRONG_UNIT);
        List<DocumentProblem> problems = problems(text);
        assertEquals(problems.size(), expected.size(), problems.toString());
        List<String> lines = text.lines().toList();
        for (DocumentProblem problem : problems) {
            String name = problem.field().substring(problem.field().lastIndexOf('.') + 1);
            assertTrue(lines.get(problem.line() - 1).contains(name), problem.toString());
            assertEquals(problem.code(), expected.get(problem.field()));
            assertEquals(problem.file(), "document.yaml");
        }
    }

    /** Text that is not a mapping, too long or nested too deep is rejected by the parser. */
    @Test
    public void rejectsMalformedOrOversizedText() {
        assertEquals(problems("").get(0).code(), ProblemCode.SYNTAX);
        assertEquals(problems("- 1\n").get(0).code(), ProblemCode.SYNTAX);
        assertEquals(problems("a".repeat(2_000_001)).get(0).code(), ProblemCode.TOO_LARGE);
        assertTrue(problems("teams: " + "[".repeat(40) + "]".repeat(40) + "\n").stream()
                .anyMatch(p -> p.code() == ProblemCode.TOO_LARGE));
    }

    private List<DocumentProblem> problems(String text) {
        DocumentResult result = reader.read("document.yaml", text);
        assertTrue(result instanceof DocumentResult.Rejected, "accepted");
        return ((DocumentResult.Rejected) result).problems();
    }
}

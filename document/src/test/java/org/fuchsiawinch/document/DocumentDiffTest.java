package org.fuchsiawinch.document;

import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Checks the comparison of documents. */
public final class DocumentDiffTest {

    /** A changed, an added and a removed field are listed under their section and its owner. */
    @Test
    public void listsChangedFieldsBySection() {
        Document before = Samples.accepted("lagilagi");
        Document after = accepted(before.text()
                .replace("checkpoint: 20s", "checkpoint: 30s")
                .replace("    migration: 0.30\n", "")
                .replace("    min-samples: 5\n", "    min-samples: 5\n    time-overrun-factor: 4\n"));
        assertEquals(
                DocumentDiff.between(before, after),
                List.of(
                        new SectionDiff(
                                Section.CAPACITY,
                                "engineering",
                                List.of(
                                        change(Section.CAPACITY, "capacity.lending.checkpoint", "20s", "30s"),
                                        change(Section.CAPACITY, "capacity.estimates.time-overrun-factor", null, "4"))),
                        new SectionDiff(
                                Section.SPENDING,
                                "finance",
                                List.of(change(Section.SPENDING, "spending.prices.migration", "0.30", null)))));
    }

    /** A section in which only a comment changed is listed without changed fields. */
    @Test
    public void listsNoFieldsIfOnlyCommentsDiffer() {
        Document before = Samples.accepted("bureau");
        Document after = accepted(before.text().replace("# Scan matches need", "# Scan matches still need"));
        assertEquals(
                DocumentDiff.between(before, after),
                List.of(new SectionDiff(Section.OBJECTIVE, "engineering", List.of())));
        assertEquals(DocumentDiff.between(before, before), List.of());
    }

    private static FieldChange change(Section section, String path, String before, String after) {
        return new FieldChange(section, path, Optional.ofNullable(before), Optional.ofNullable(after));
    }

    private static Document accepted(String text) {
        return ((DocumentResult.Accepted) new DocumentReader().read("after", text)).document();
    }
}

package org.fuchsiawinch.ctl.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiawinch.document.Document;
import org.fuchsiawinch.document.DocumentDiff;
import org.fuchsiawinch.document.DocumentReader;
import org.fuchsiawinch.document.DocumentResult;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.document.SectionDiff;
import org.fuchsiawinch.replay.ReplayInput;
import org.fuchsiawinch.replay.ReplayRunner;
import org.fuchsiawinch.replay.SchedulingPolicy;
import org.fuchsiawinch.replay.measure.Measures;
import org.fuchsiawinch.replay.trace.Trace;
import org.fuchsiawinch.replay.trace.TraceEvent;

/**
 * Replays a trace under the document in force and a proposed one. If several sections differ, also replays each changed
 * section on its own, so that each owner sees the effect of its section. Immutable.
 */
public final class Planner {

    private final Trace trace;
    private final long seed;

    /**
     * Creates a planner.
     *
     * @param trace the trace; its document changes are ignored, since each variant applies to the whole replay
     * @param seed seed of the replay's protocol delays
     */
    public Planner(Trace trace, long seed) {
        List<TraceEvent> events = trace.events().stream()
                .filter(event -> !(event instanceof TraceEvent.DocumentChange))
                .toList();
        this.trace = new Trace(trace.name(), trace.horizonMs(), events);
        this.seed = seed;
    }

    /**
     * Returns the documents to replay.
     *
     * @param accepted the document in force
     * @param proposed the proposed document
     * @return the document in force; if several sections that affect scheduling differ, one variant for each, in which
     *     only that section is changed, unless the resulting document is invalid; and the proposed document
     */
    public static List<PlanVariant> variants(Document accepted, Document proposed) {
        List<PlanVariant> variants = new ArrayList<>();
        variants.add(new PlanVariant(PlanVariant.ACCEPTED, accepted));
        List<Section> changed = DocumentDiff.between(accepted, proposed).stream()
                .filter(diff -> !diff.changes().isEmpty())
                .map(SectionDiff::section)
                .filter(Planner::affectsScheduling)
                .toList();
        if (changed.size() > 1) {
            changed.forEach(section -> addSingleSectionVariant(variants, accepted, proposed, section));
        }
        variants.add(new PlanVariant(PlanVariant.PROPOSED, proposed));
        return variants;
    }

    /**
     * Replays the trace under each document.
     *
     * @param variants the documents
     * @return the results in the order of the variants
     */
    public List<PlanColumn> run(List<PlanVariant> variants) {
        return variants.stream()
                .map(variant -> new PlanColumn(variant.name(), replay(variant.document())))
                .toList();
    }

    private Measures replay(Document document) {
        ReplayInput input = new ReplayInput(trace, document.policy(), Map.of());
        return new ReplayRunner().run(input, SchedulingPolicy.GUARANTEE, seed).measures();
    }

    private static boolean affectsScheduling(Section section) {
        return section == Section.CAPACITY || section == Section.OBJECTIVE || section == Section.SPENDING;
    }

    private static void addSingleSectionVariant(
            List<PlanVariant> variants, Document accepted, Document proposed, Section section) {
        String text = accepted.textWith(section, proposed.sectionTexts().get(section));
        if (new DocumentReader().read(section.key(), text) instanceof DocumentResult.Accepted valid) {
            variants.add(new PlanVariant("only " + section.key(), valid.document()));
        }
    }
}

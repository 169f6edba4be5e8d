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
 * Replays a trace under two documents. When several sections differ, the effect of each one alone is replayed too, so
 * that each owner sees its own part. Immutable.
 */
public final class Planner {

    private final Trace trace;
    private final long seed;

    /**
     * Creates a planner.
     *
     * @param trace the trace; changes of the document in it are left out, as each variant holds throughout
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
     * Lists the documents to replay.
     *
     * @param accepted the document in force
     * @param proposed the proposed document
     * @return the document in force, it with each changed section alone if several differ and the result is valid,
     *     and the proposed one
     */
    public static List<PlanVariant> variants(Document accepted, Document proposed) {
        List<PlanVariant> variants = new ArrayList<>();
        variants.add(new PlanVariant(PlanVariant.ACCEPTED, accepted));
        List<Section> changed = DocumentDiff.between(accepted, proposed).stream()
                .filter(diff -> !diff.changes().isEmpty())
                .map(SectionDiff::section)
                .filter(Planner::decides)
                .toList();
        if (changed.size() > 1) {
            changed.forEach(section -> addAlone(variants, accepted, proposed, section));
        }
        variants.add(new PlanVariant(PlanVariant.PROPOSED, proposed));
        return variants;
    }

    /**
     * Replays the trace under each document.
     *
     * @param variants the documents
     * @return the figures of each
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

    private static boolean decides(Section section) {
        return section == Section.CAPACITY || section == Section.OBJECTIVE || section == Section.SPENDING;
    }

    private static void addAlone(List<PlanVariant> variants, Document accepted, Document proposed, Section section) {
        String text = accepted.textWith(section, proposed.sectionTexts().get(section));
        if (new DocumentReader().read(section.key(), text) instanceof DocumentResult.Accepted alone) {
            variants.add(new PlanVariant("only " + section.key(), alone.document()));
        }
    }
}

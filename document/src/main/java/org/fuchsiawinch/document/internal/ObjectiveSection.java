package org.fuchsiawinch.document.internal;

import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.model.Objective;

/** Fields and checks of the section {@code objective}. Stateless. */
final class ObjectiveSection {

    static final Field<Double> COMPLETION_WEIGHT = Field.of(
                    "completion-weight",
                    FieldTypes.DECIMAL,
                    "Weight of completion time. Only its ratio to the other weight matters; not both are 0.")
            .between("0", "1000");
    static final Field<Double> FRAGMENTATION_WEIGHT = Field.of(
                    "fragmentation-weight", FieldTypes.DECIMAL, "Weight of fragmentation.")
            .between("0", "1000");
    static final Group GROUP =
            Group.object(Section.OBJECTIVE.key()).withFields(COMPLETION_WEIGHT, FRAGMENTATION_WEIGHT);

    private ObjectiveSection() {}

    /**
     * Reads the section.
     *
     * @param root cursor on the document
     * @return the objective
     */
    static Objective read(Cursor root) {
        Cursor cursor = root.object(GROUP);
        Objective objective = new Objective(cursor.read(COMPLETION_WEIGHT), cursor.read(FRAGMENTATION_WEIGHT));
        if (objective.completionWeight() + objective.fragmentationWeight() == 0) {
            cursor.report(ProblemCode.CONTRADICTION, "both weights are 0");
        }
        return objective;
    }
}

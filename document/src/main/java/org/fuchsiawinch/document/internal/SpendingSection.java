package org.fuchsiawinch.document.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fuchsiawinch.document.ProblemCode;
import org.fuchsiawinch.document.Section;
import org.fuchsiawinch.model.PricePolicy;
import org.fuchsiawinch.model.WorkspaceId;

/** Fields and checks of the section {@code spending}. Stateless. */
final class SpendingSection {

    /** Length in ms of the spending period of a workspace without a limit. */
    static final long UNLIMITED_PERIOD_MS = 86_400_000;

    static final Field<String> CURRENCY =
            Field.of("currency", FieldTypes.CURRENCY, "Currency of all amounts, for display.");
    static final Field<Long> ACCELERATOR_HOUR = Field.of(
                    "accelerator-hour", FieldTypes.MONEY, "Price of an accelerator for an hour.")
            .between("0", "1000000");
    static final Field<Long> LENT_ACCELERATOR_HOUR = Field.of(
                    "lent-accelerator-hour",
                    FieldTypes.MONEY,
                    "Price of an accelerator for an hour on capacity lent by another workspace.")
            .between("0", "1000000");
    static final Field<Long> MIGRATION = Field.of(
                    "migration",
                    FieldTypes.MONEY,
                    "Price of moving one running attempt against fragmentation; without it none is moved.")
            .optional()
            .between("0", "1000000");
    static final Group PRICES = Group.object("prices").withFields(ACCELERATOR_HOUR, LENT_ACCELERATOR_HOUR, MIGRATION);
    static final Field<Long> AMOUNT = Field.of("amount", FieldTypes.MONEY, "Most that may be spent in a period.")
            .between("0", "100000000");
    static final Field<Long> PERIOD = Field.of("period", FieldTypes.DURATION, "Length of the spending period.")
            .between("1h", "366d");
    static final Group DEFAULT_LIMIT = Group.object("default-limit").optional().withFields(AMOUNT, PERIOD);
    static final Group LIMITS = Group.map("limits", "workspace").optional().withFields(AMOUNT, PERIOD);
    static final Group GROUP =
            Group.object(Section.SPENDING.key()).withFields(CURRENCY).withGroups(PRICES, DEFAULT_LIMIT, LIMITS);

    private SpendingSection() {}

    /**
     * Contents of the section.
     *
     * @param currency currency of all amounts
     * @param prices prices of capacity and of migrations
     * @param defaultLimit limit of each workspace that has none of its own
     * @param limits limits by workspace
     */
    record Spending(String currency, PricePolicy prices, Optional<Limit> defaultLimit, Map<WorkspaceId, Limit> limits) {

        Optional<Limit> limitOf(WorkspaceId workspace) {
            return Optional.ofNullable(limits.get(workspace)).or(() -> defaultLimit);
        }
    }

    /**
     * A spending limit.
     *
     * @param amountMicros maximum spend in a period, in millionths of the currency unit
     * @param periodMs length of the period in ms
     */
    record Limit(long amountMicros, long periodMs) {}

    /**
     * Reads the section.
     *
     * @param root cursor on the document
     * @param workspaces workspaces that the capacity section defines
     * @return the contents, with placeholders where problems were reported
     */
    static Spending read(Cursor root, Set<WorkspaceId> workspaces) {
        Cursor cursor = root.object(GROUP);
        Map<WorkspaceId, Limit> limits = new LinkedHashMap<>();
        cursor.entries(LIMITS).forEach((name, entry) -> {
            WorkspaceId workspace = new WorkspaceId(name);
            if (!workspaces.contains(workspace)) {
                entry.report(ProblemCode.UNKNOWN_REFERENCE, "the capacity section has no such workspace");
            }
            limits.put(workspace, limit(entry));
        });
        return new Spending(
                cursor.read(CURRENCY),
                prices(cursor.object(PRICES)),
                cursor.optionalObject(DEFAULT_LIMIT).map(SpendingSection::limit),
                limits);
    }

    private static PricePolicy prices(Cursor cursor) {
        return new PricePolicy(
                cursor.read(ACCELERATOR_HOUR),
                cursor.read(LENT_ACCELERATOR_HOUR),
                cursor.readOptional(MIGRATION).orElse(-1L));
    }

    private static Limit limit(Cursor cursor) {
        return new Limit(cursor.read(AMOUNT), cursor.read(PERIOD));
    }
}

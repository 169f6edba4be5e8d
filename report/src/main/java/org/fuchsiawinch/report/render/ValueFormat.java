package org.fuchsiawinch.report.render;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import java.util.stream.Collectors;

import org.fuchsiawinch.document.ServiceLevel;
import org.fuchsiawinch.report.burn.BurnAlert;
import org.fuchsiawinch.report.burn.ServiceLevelBurn;
import org.fuchsiawinch.report.burn.SpendBurn;
import org.fuchsiawinch.report.burn.WindowBurn;

/** Formats values with their units, in the same way for text and HTML. Stateless. */
final class ValueFormat {

    private static final long MS_PER_S = 1_000;
    private static final long MS_PER_MINUTE = 60_000;
    private static final long MS_PER_HOUR = 3_600_000;
    private static final long MS_PER_DAY = 86_400_000;
    private static final double MICROS_PER_UNIT = 1_000_000.0;
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss 'UTC'", Locale.ROOT)
            .withZone(ZoneOffset.UTC);

    private ValueFormat() {}

    static String time(long atMs) {
        return TIME.format(Instant.ofEpochMilli(atMs));
    }

    static String duration(long ms) {
        if (ms < MS_PER_S) {
            return ms + " ms";
        }
        if (ms < MS_PER_MINUTE) {
            return inUnit(ms, MS_PER_S, "s");
        }
        if (ms < MS_PER_HOUR) {
            return inUnit(ms, MS_PER_MINUTE, "min");
        }
        return ms < MS_PER_DAY ? inUnit(ms, MS_PER_HOUR, "h") : inUnit(ms, MS_PER_DAY, "d");
    }

    private static String inUnit(long ms, long unitMs, String unit) {
        return ms % unitMs == 0 ? ms / unitMs + " " + unit : format("%.1f %s", (double) ms / unitMs, unit);
    }

    static String money(long micros) {
        return format("%,.2f", micros / MICROS_PER_UNIT);
    }

    static String percent(double share) {
        return format("%.1f%%", 100 * share);
    }

    static String percentTwoDecimals(double share) {
        return format("%.2f%%", 100 * share);
    }

    static String rate(double rate) {
        return format("%.1f", rate);
    }

    static String target(ServiceLevel level) {
        String share = format("%s%%", withoutTrailingZeros(100 * level.targetShare()));
        String within = level.thresholdMs().isPresent()
                ? " within " + duration(level.thresholdMs().getAsLong())
                : "";
        return share + within + ", " + duration(level.windowMs());
    }

    /** Returns the names of the firing alerts; without any, "no events", "overspent" or "ok". */
    static String state(ServiceLevelBurn burn) {
        String firing = burn.windows().stream()
                .filter(WindowBurn::firing)
                .map(window -> alertLabel(window.alert()).toLowerCase(Locale.ROOT))
                .collect(Collectors.joining(" "));
        if (!firing.isEmpty()) {
            return firing;
        }
        if (burn.eventCount() == 0) {
            return "no events";
        }
        return burn.budgetLeft() < 0 ? "overspent" : "ok";
    }

    static String alertLabel(BurnAlert alert) {
        String name = alert.name();
        return name.charAt(0) + name.substring(1).toLowerCase(Locale.ROOT);
    }

    static String limit(SpendBurn spend) {
        return spend.limitMicros().isPresent() ? money(spend.limitMicros().getAsLong()) : "none";
    }

    private static String withoutTrailingZeros(double value) {
        return format("%.4f", value).replaceAll("\\.?0+$", "");
    }

    static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}

package org.fuchsiawinch.standin;

import java.util.List;

import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.runtime.SettingsReader;

/** Settings of the stand-in platform. */
public final class PlatformSettings {

    /** Address to listen on. */
    public static final Setting<String> HOST =
            Setting.text("host", "IP address to listen on").withDefault("127.0.0.1");

    /** Port to listen on. */
    public static final Setting<Long> PORT =
            Setting.number("port", "TCP port to listen on", 1, 65535).withDefault("7400");

    /** Which user's workers to stand in for. */
    public static final Setting<WorkerFleet> SITE = Setting.choice(
                    "site", "whose workers to stand in for", WorkerFleet.class)
            .withDefault("lagilagi");

    /** Retention of the log. */
    public static final Setting<Long> LOG_RETENTION_MS = Setting.number(
                    "log-retention-ms", "time in ms for which a log record is kept", 1000, 604_800_000L)
            .withDefault("86400000");

    private PlatformSettings() {}

    /**
     * Gives the reader of all settings.
     *
     * @return the reader
     */
    public static SettingsReader reader() {
        return new SettingsReader(
                "fuchsiawinch-standin",
                "Stands in for the platform: log, list of workers, and workers.",
                List.of(HOST, PORT, SITE, LOG_RETENTION_MS));
    }
}

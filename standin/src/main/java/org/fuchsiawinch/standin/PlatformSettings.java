package org.fuchsiawinch.standin;

import java.util.List;

import org.fuchsiawinch.runtime.Setting;
import org.fuchsiawinch.runtime.SettingsReader;

/** Settings of the stand-in platform. */
public final class PlatformSettings {

    /** IP address to listen on. */
    public static final Setting<String> HOST =
            Setting.text("host", "IP address to listen on").withDefault("127.0.0.1");

    /** TCP port to listen on. */
    public static final Setting<Long> PORT =
            Setting.number("port", "TCP port to listen on", 1, 65535).withDefault("7400");

    /** The user whose workers are simulated. */
    public static final Setting<WorkerFleet> SITE = Setting.choice(
                    "site", "user whose workers are simulated", WorkerFleet.class)
            .withDefault("lagilagi");

    /** Retention of log records in ms. */
    public static final Setting<Long> LOG_RETENTION_MS = Setting.number(
                    "log-retention-ms", "retention of log records in ms", 1000, 604_800_000L)
            .withDefault("86400000");

    private PlatformSettings() {}

    /**
     * Returns a reader of all settings.
     *
     * @return the reader
     */
    public static SettingsReader reader() {
        return new SettingsReader(
                "fuchsiawinch-standin",
                "Runs the stand-in platform: log, list of workers, and workers.",
                List.of(HOST, PORT, SITE, LOG_RETENTION_MS));
    }
}

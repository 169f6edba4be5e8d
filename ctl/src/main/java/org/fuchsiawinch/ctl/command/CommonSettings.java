package org.fuchsiawinch.ctl.command;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.List;
import java.util.Optional;

import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.runtime.Setting;

/** Settings that several commands share. */
public final class CommonSettings {

    /** Base URL of the node. */
    public static final Setting<URI> NODE = new Setting<>(
            "node",
            "base URL of a node's operator interface",
            Optional.of("http://127.0.0.1:8080"),
            CommonSettings::parseUrl,
            "an http or https URL");

    /** Operator's bearer token; empty for none. */
    public static final Setting<String> TOKEN = Setting.optionalText(
            "token", "operator's bearer token; set the variable instead if other users can see the command line");

    /** Maximum time to wait for a reply, in ms. */
    public static final Setting<Long> TIMEOUT_MS = Setting.number(
                    "timeout-ms", "maximum time to wait for a reply, in ms", 1, 3_600_000)
            .withDefault("15000");

    /** Output format. */
    public static final Setting<OutputFormat> OUTPUT =
            Setting.choice("output", "output format", OutputFormat.class).withDefault("table");

    /** Settings of commands that call a node. */
    public static final List<Setting<?>> ONLINE = List.of(NODE, TOKEN, TIMEOUT_MS, OUTPUT);

    /** Settings of commands that only read files. */
    public static final List<Setting<?>> OFFLINE = List.of(OUTPUT);

    private CommonSettings() {}

    private static Optional<URI> parseUrl(String text) {
        try {
            URI url = new URI(text);
            boolean http = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
            return http && url.getHost() != null ? Optional.of(url) : Optional.empty();
        } catch (URISyntaxException e) {
            return Optional.empty();
        }
    }
}

package org.fuchsiawinch.ctl.command;

import java.util.List;
import java.util.function.Supplier;

import org.fuchsiawinch.ctl.api.ControlApi;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.runtime.Settings;

/**
 * One call of a command.
 *
 * @param arguments arguments in order
 * @param settings checked settings
 * @param apiSupplier gives the node; used by commands that talk to one
 * @param console where to write
 */
public record Invocation(List<String> arguments, Settings settings, Supplier<ControlApi> apiSupplier, Console console) {

    /**
     * Gives the node.
     *
     * @return a client of the node that the settings name
     */
    public ControlApi api() {
        return apiSupplier.get();
    }

    /**
     * Gives the form of the output.
     *
     * @return the form
     */
    public OutputFormat format() {
        return settings.value(CommonSettings.OUTPUT);
    }
}

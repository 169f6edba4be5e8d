package org.fuchsiawinch.ctl.command;

import java.util.List;
import java.util.function.Supplier;

import org.fuchsiawinch.ctl.api.ControlApi;
import org.fuchsiawinch.ctl.output.OutputFormat;
import org.fuchsiawinch.runtime.Settings;

/**
 * Invocation of a command.
 *
 * @param arguments positional arguments in order
 * @param settings validated settings
 * @param apiSupplier creates a client of the node; used only by commands that call a node
 * @param console output streams
 */
public record Invocation(List<String> arguments, Settings settings, Supplier<ControlApi> apiSupplier, Console console) {

    /**
     * Creates a client of the node that the settings name.
     *
     * @return the client
     */
    public ControlApi api() {
        return apiSupplier.get();
    }

    /**
     * Returns the output format.
     *
     * @return the format
     */
    public OutputFormat format() {
        return settings.value(CommonSettings.OUTPUT);
    }
}

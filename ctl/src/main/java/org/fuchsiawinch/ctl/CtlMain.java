package org.fuchsiawinch.ctl;

import java.time.Duration;

import org.fuchsiawinch.ctl.api.ControlApi;
import org.fuchsiawinch.ctl.api.HttpControlApi;
import org.fuchsiawinch.ctl.command.Commands;
import org.fuchsiawinch.ctl.command.CommonSettings;
import org.fuchsiawinch.ctl.command.Console;
import org.fuchsiawinch.runtime.Settings;

/** Entry point of {@code fuchsiawinch-ctl}, the command line for operators and finance. */
public final class CtlMain {

    private CtlMain() {}

    /**
     * Runs the program and exits with its status.
     *
     * @param arguments arguments of the program
     */
    public static void main(String[] arguments) {
        CommandDispatcher dispatcher = new CommandDispatcher(Commands.all(), CtlMain::createApi, System.getenv());
        int status = dispatcher.run(arguments, new Console(System.out, System.err));
        System.exit(status);
    }

    private static ControlApi createApi(Settings settings) {
        return new HttpControlApi(
                settings.value(CommonSettings.NODE),
                settings.value(CommonSettings.TOKEN),
                Duration.ofMillis(settings.value(CommonSettings.TIMEOUT_MS)));
    }
}

package org.fuchsiawinch.ctl;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.fuchsiawinch.ctl.api.ControlApi;
import org.fuchsiawinch.ctl.command.Commands;
import org.fuchsiawinch.ctl.command.Console;

/** Exit status and output of one run of the program. */
record CtlRun(int status, String out, String err) {

    static CtlRun of(ControlApi api, String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        int status = new CommandDispatcher(Commands.all(), settings -> api, Map.of()).run(arguments, console);
        return new CtlRun(status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }
}

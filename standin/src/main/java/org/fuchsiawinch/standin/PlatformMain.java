package org.fuchsiawinch.standin;

import org.fuchsiawinch.runtime.EventLog;
import org.fuchsiawinch.runtime.Program;
import org.fuchsiawinch.runtime.Settings;
import org.fuchsiawinch.standin.log.LogStore;
import reactor.netty.DisposableServer;

/** Runs the stand-in platform until the process is terminated. */
public final class PlatformMain {

    private static final EventLog LOG = new EventLog(PlatformMain.class);

    private PlatformMain() {}

    /**
     * Starts the process.
     *
     * @param arguments command-line flags
     */
    public static void main(String[] arguments) {
        int status = Program.run(PlatformSettings.reader(), arguments, System.out, System.err, PlatformMain::serve);
        System.exit(status);
    }

    private static int serve(Settings settings) {
        int port = settings.value(PlatformSettings.PORT).intValue();
        PlatformServer platform = new PlatformServer(
                settings.value(PlatformSettings.HOST),
                port,
                new LogStore(settings.value(PlatformSettings.LOG_RETENTION_MS)),
                settings.value(PlatformSettings.SITE).workers(),
                System::currentTimeMillis);
        DisposableServer server = platform.start();
        LOG.info("platform_started", "port", port, "site", settings.value(PlatformSettings.SITE));
        server.onDispose().block();
        return Program.EXIT_OK;
    }
}

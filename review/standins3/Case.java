package standins3;

import java.nio.file.Path;

/** Frame of a case: runs it and maps its result to the exit status. */
public final class Case {

    private Case() {}

    /** The case. */
    public interface Body {
        /**
         * Plays the case.
         *
         * @param trouble whether the disruption takes place
         * @return what broke the rule; an empty text if it held
         * @throws Exception if the case could not run
         */
        String play(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    /** Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    public static void run(String folder, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Record record = new Record(Path.of(folder, "record.txt"))) {
            record.line("TROUBLE=%d", trouble ? 1 : 0);
            try (Deployment deployment = new Deployment(record)) {
                Thread hook = new Thread(deployment::close);
                Runtime.getRuntime().addShutdownHook(hook);
                String broken = body.play(deployment, record, trouble);
                if (!deployment.nodesAlive()) {
                    record.line("a node has ended by itself");
                }
                record.line(broken.isEmpty() ? "RULE HELD" : "RULE BROKEN: %s", broken);
                System.out.println(broken.isEmpty() ? "rule held" : "rule broken: " + broken);
                status = broken.isEmpty() ? 0 : 1;
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (Exception e) {
                record.line("the case could not run: %s", e);
                System.out.println("could not run: " + e);
            }
        }
        System.exit(status);
    }

    /** Signals that a case could not run. */
    public static final class NotRunException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception. */
        public NotRunException(String message) {
            super(message);
        }
    }
}

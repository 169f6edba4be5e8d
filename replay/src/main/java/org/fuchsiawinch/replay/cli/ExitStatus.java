package org.fuchsiawinch.replay.cli;

/** Exit statuses of the replay binaries. */
public enum ExitStatus {
    /** Success. */
    OK(0),
    /** A target was missed. */
    TARGET_MISSED(1),
    /** The command line or an input file is invalid; nothing was done. */
    INPUT_REFUSED(2),
    /** The output file cannot be written. */
    OUTPUT_FAILED(3);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /**
     * Returns the status code for the operating system.
     *
     * @return the exit status
     */
    public int code() {
        return code;
    }
}

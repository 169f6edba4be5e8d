package org.fuchsiawinch.runtime;

import org.fuchsiawinch.model.FuchsiawinchException;

/** Reports the use of a setting that a program does not define. */
public final class UndefinedSettingException extends FuchsiawinchException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param flag name of the flag
     */
    public UndefinedSettingException(String flag) {
        super("setting --" + flag + " is not defined by this program");
    }
}

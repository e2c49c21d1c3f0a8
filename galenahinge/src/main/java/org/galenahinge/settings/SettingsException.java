package org.galenahinge.settings;

/** Thrown when settings are missing or invalid; the message names the setting, its value and the allowed values. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message one line that names the setting, its value and the allowed values
     */
    public SettingsException(String message) {
        super(message);
    }
}

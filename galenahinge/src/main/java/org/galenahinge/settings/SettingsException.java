package org.galenahinge.settings;

/** Says which setting is wrong, its value, and what is allowed. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message one line naming the setting, the value and what is allowed
     */
    public SettingsException(String message) {
        super(message);
    }
}

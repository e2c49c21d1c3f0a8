package org.galenahinge.daemon;

/** A signal that a process handles. */
public enum ProcessSignal {
    /** Reloads the settings. First, since it ends a process that does not handle it and was not asked to stop. */
    HUP(false),
    /** Stops gracefully. */
    TERM(true),
    /** Stops gracefully, for a process that runs in a terminal. */
    INT(true);

    private final boolean stops;

    ProcessSignal(boolean stops) {
        this.stops = stops;
    }

    /**
     * Tells what the signal asks for.
     *
     * @return whether it asks the process to stop
     */
    public boolean stops() {
        return stops;
    }
}

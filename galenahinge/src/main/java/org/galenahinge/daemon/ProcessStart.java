package org.galenahinge.daemon;

/** The first act of a main class. */
public final class ProcessStart {
    private ProcessStart() {}

    /**
     * Remembers signals from now on, and ends the process if the thread of the main class ends with an error: the
     * process would not be up, so that it would remember all signals and act on none.
     *
     * @param exitCode the exit code after an error
     * @return receives the signals
     */
    public static SignalInbox begin(int exitCode) {
        SignalInbox signals = SignalInbox.create();
        ProcessSignals.deliverTo(signals);
        Thread.currentThread().setUncaughtExceptionHandler((thread, error) -> {
            error.printStackTrace();
            System.exit(exitCode);
        });
        return signals;
    }
}

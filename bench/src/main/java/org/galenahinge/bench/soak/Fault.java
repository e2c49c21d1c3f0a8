package org.galenahinge.bench.soak;

/**
 * A fault at a time of an episode.
 *
 * @param atMillis when it comes: after the begin of the episode, or of a start for the kinds that say so, in milliseconds
 * @param entry the number of the entry, or of the engine, from 0; without meaning for faults around them
 * @param kind what it is
 * @param lastsMillis how long it lasts, in milliseconds, 0 if it has no duration
 */
record Fault(long atMillis, int entry, Kind kind, long lastsMillis) {
    /** The kinds of faults. */
    enum Kind {
        /** SIGTERM, the first of a process. */
        STOP,
        /** SIGTERM again. */
        STOP_AGAIN,
        /** SIGINT after SIGTERM. */
        INTERRUPT,
        /** SIGHUP with the same settings. */
        RELOAD,
        /** SIGHUP with changed settings. */
        RELOAD_CHANGED,
        /** A new config. */
        CONFIG,
        /** The store is away for a time. */
        STORE_AWAY,
        /** The process is frozen for a time. */
        FREEZE,
        /** SIGHUP at a time after the next start of the process. */
        RELOAD_AT_START,
        /** SIGTERM at a time after the next start of the process. */
        STOP_AT_START,
        /** SIGKILL. */
        KILL,
        /** The next version of the weights is named. */
        NAME_VERSION,
        /** The VM of an engine is suspended for a time. */
        SUSPEND_ENGINE,
        /** An engine queues requests for a time before it begins them, and for as long as it does so. */
        QUEUE_ENGINE
    }

    boolean isAtStart() {
        return kind == Kind.RELOAD_AT_START || kind == Kind.STOP_AT_START;
    }

    @Override
    public String toString() {
        return kind + (lastsMillis > 0 ? " for " + lastsMillis + " ms" : "");
    }
}

package org.galenahinge.gateway;

/** What the connection of a caller does. */
enum ConnectionPhase {
    /** It waits for the next request. */
    WAITING,
    /** A request is being read, or waits to be processed. */
    READING,
    /** A request is being forwarded. */
    RUNNING,
    /** Responses have ended, and not all of them were given to the network. */
    WRITING,
    /** The caller was told that nothing follows, and has not closed the connection yet. */
    LINGERING
}

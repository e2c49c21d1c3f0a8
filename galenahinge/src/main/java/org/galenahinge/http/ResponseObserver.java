package org.galenahinge.http;

import java.time.Duration;

/** Observes how a response comes in. Called on the thread of its connection. */
public interface ResponseObserver {
    /** Observes nothing. */
    ResponseObserver NONE = () -> {};

    /** Called whenever some bytes of the response have arrived, before it is complete. */
    void bytesArrived();

    /**
     * Called when the connection for the request has been opened.
     *
     * @param taken the time that took
     */
    default void connected(Duration taken) {}
}

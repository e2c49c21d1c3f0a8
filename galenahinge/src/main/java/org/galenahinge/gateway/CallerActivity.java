package org.galenahinge.gateway;

import java.util.Collection;
import java.util.Collections;

/**
 * How many connections of callers do what.
 *
 * @param waiting how many wait for a request
 * @param reading how many read a request
 * @param running how many forward a request
 * @param writing how many write the rest of a response
 * @param lingering how many were closed by this side only
 */
public record CallerActivity(int waiting, int reading, int running, int writing, int lingering) {
    static CallerActivity of(Collection<ConnectionPhase> phases) {
        return new CallerActivity(
                Collections.frequency(phases, ConnectionPhase.WAITING),
                Collections.frequency(phases, ConnectionPhase.READING),
                Collections.frequency(phases, ConnectionPhase.RUNNING),
                Collections.frequency(phases, ConnectionPhase.WRITING),
                Collections.frequency(phases, ConnectionPhase.LINGERING));
    }

    /**
     * Returns how many connections have a request or a response in progress.
     *
     * @return the number of connections
     */
    public int busy() {
        return reading + running + writing;
    }
}

package org.galenahinge.daemon;

import java.security.SecureRandom;

/** Gives each process a number that no earlier process of its VM has used, without a clock. */
public final class Incarnation {
    private Incarnation() {}

    /**
     * Draws a number.
     *
     * @return a random positive number of 62 bits
     */
    public static long draw() {
        return (new SecureRandom().nextLong() >>> 2) + 1;
    }
}

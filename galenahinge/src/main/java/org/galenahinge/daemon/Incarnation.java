package org.galenahinge.daemon;

import java.security.SecureRandom;

/** Chooses the number that tells a process from earlier processes of its VM, at random and without a clock. */
public final class Incarnation {
    private Incarnation() {}

    /**
     * Returns a random incarnation number.
     *
     * @return a number from 1 to 2<sup>62</sup>
     */
    public static long random() {
        return (new SecureRandom().nextLong() >>> 2) + 1;
    }
}

package org.galenahinge.entry;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The attempts in progress, so that the end of a stop can end them. The limit of active requests bounds them. */
final class ActiveAttempts {
    private final Set<SlotAttempt> attempts = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;

    /** Adds an attempt; returns false when no more attempts may begin. */
    boolean add(SlotAttempt attempt) {
        attempts.add(attempt);
        if (ended) {
            attempts.remove(attempt);
            return false;
        }
        return true;
    }

    void remove(SlotAttempt attempt) {
        attempts.remove(attempt);
    }

    /** Ends all attempts, and lets no more begin. */
    void endAll() {
        ended = true;
        attempts.forEach(SlotAttempt::processEnds);
    }
}

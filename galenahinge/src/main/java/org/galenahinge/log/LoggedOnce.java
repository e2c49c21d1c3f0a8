package org.galenahinge.log;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Remembers what was logged last, so that what is read again and again is logged once. Thread-safe. */
public final class LoggedOnce {
    private static final int MAXIMUM_REMEMBERED = 1_000;

    private final Set<Integer> hashes = ConcurrentHashMap.newKeySet();

    private LoggedOnce() {}

    /**
     * Creates a memory that remembers nothing.
     *
     * @return the memory
     */
    public static LoggedOnce create() {
        return new LoggedOnce();
    }

    /**
     * Remembers a subject of a log line. After 1,000 of them all are forgotten.
     *
     * @param subject what the line is about, with a hash code of its content
     * @return whether the subject was not remembered, so that it must be logged
     */
    public boolean isNew(Object subject) {
        Objects.requireNonNull(subject, "subject");
        if (hashes.size() >= MAXIMUM_REMEMBERED) {
            hashes.clear();
        }
        return hashes.add(subject.hashCode());
    }
}

package org.galenahinge.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Tells crashes at several moments from those of one. Crashes that follow each other closely may be one event with a reason of
 * its own, such as a loss of power, which nodes saw one after the other.
 */
final class CrashMoments {
    /** Crashes of one event are seen within this time of each other. */
    static final Duration MOMENT = Duration.ofMillis(100);

    /** From so many moments on, crashes are no single event. */
    private static final int REPEATED = 4;

    private CrashMoments() {}

    /** Returns the time of the first crash of each moment in nanoseconds, the oldest one first. */
    static List<Long> of(Collection<Long> crashNanos) {
        List<Long> ordered = ordered(crashNanos);
        return IntStream.range(0, ordered.size())
                .filter(index -> index == 0 || ordered.get(index) - ordered.get(index - 1) > MOMENT.toNanos())
                .mapToObj(ordered::get)
                .toList();
    }

    /** Returns whether crashes happened again and again. */
    static boolean areRepeated(Collection<Long> crashNanos) {
        return of(crashNanos).size() >= REPEATED;
    }

    /** Returns the times of crashes, the oldest one first. */
    static List<Long> ordered(Collection<Long> crashNanos) {
        return crashNanos.stream()
                .sorted((first, second) -> Long.signum(first - second))
                .toList();
    }
}

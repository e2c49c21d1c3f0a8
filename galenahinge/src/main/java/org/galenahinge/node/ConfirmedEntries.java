package org.galenahinge.node;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.galenahinge.concurrent.Moment;
import org.galenahinge.concurrent.Timers;

/**
 * Which of the entries that count as up may be named to callers: those of which there is evidence from after this entry
 * last lost touch with the others, by its start, by a suspension or by a partition. What it held before that may name
 * entries that have ended since, and the news of their end may have passed already. Not thread-safe.
 */
final class ConfirmedEntries {
    /** Time without an observation after which this process counts as suspended. */
    static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(2);

    /** Datagrams that arrived during a suspension are read within this time after it; they are no evidence. */
    private static final Duration DRAIN_TIME = Duration.ofMillis(500);

    /** How long an entry that was heard is named while pings of entries that count as up fail. */
    private static final Duration HEARD_VALIDITY = Duration.ofSeconds(4);

    /** How long an entry that another one lists is named, until news of earlier ends has surely passed. */
    private static final Duration LISTED_VALIDITY = Duration.ofSeconds(2);

    /** The time in which the news of an end reaches all entries. */
    private static final Duration NEWS_TIME = Duration.ofSeconds(5);

    private final Timers timers;
    private final Map<String, Long> heardNanos = new HashMap<>();
    private final Map<String, Long> listedNanos = new HashMap<>();
    private Moment observed;
    private long trustedFromNanos;

    ConfirmedEntries(Timers timers) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.observed = Moment.now(timers);
        this.trustedFromNanos = observed.nanos();
    }

    /** Begins anew: this entry becomes known to the others only now, so that it missed the news of earlier ends. */
    void begin() {
        observed = Moment.now(timers);
        trustedFromNanos = observed.nanos();
    }

    /**
     * Notices whether this process was suspended. Call it often, and before anything that a suspension may have delayed.
     *
     * @return whether it was suspended since the last call
     */
    boolean observe() {
        Moment now = Moment.now(timers);
        boolean suspended = !now.isWithin(PAUSE_THRESHOLD, observed);
        observed = now;
        if (suspended) {
            trustedFromNanos = now.nanos() + DRAIN_TIME.toNanos();
        }
        return suspended;
    }

    /** Records that pings of entries that count as up fail, so that the ends of others may not be told either. */
    void outOfTouch() {
        trustedFromNanos = later(trustedFromNanos, observed.nanos() - HEARD_VALIDITY.toNanos());
    }

    /** Records a message of an entry. */
    void heard(String entry) {
        heardNanos.put(entry, observed.nanos());
    }

    /** Records that a settled entry, which was asked at some time, listed others. */
    void listed(Collection<String> entries, long askedNanos) {
        entries.forEach(entry -> listedNanos.merge(entry, askedNanos, ConfirmedEntries::later));
    }

    /** Forgets the entries that are no members any more. */
    void retain(Collection<String> members) {
        heardNanos.keySet().retainAll(members);
        listedNanos.keySet().retainAll(members);
    }

    /** Returns whether this entry has been in touch for so long that others may rely on what it names. */
    boolean isSettled() {
        return observed.nanos() - trustedFromNanos >= NEWS_TIME.toNanos();
    }

    /** Returns whether an entry that counts as up may be named to callers. */
    boolean isConfirmed(String entry) {
        Long heard = heardNanos.get(entry);
        if (heard != null && heard - trustedFromNanos >= 0) {
            return true;
        }
        Long listed = listedNanos.get(entry);
        if (listed == null || listed - trustedFromNanos < 0) {
            return false;
        }
        return listed - trustedFromNanos >= NEWS_TIME.toNanos()
                || observed.nanos() - listed <= LISTED_VALIDITY.toNanos();
    }

    private static long later(long first, long second) {
        return first - second >= 0 ? first : second;
    }
}

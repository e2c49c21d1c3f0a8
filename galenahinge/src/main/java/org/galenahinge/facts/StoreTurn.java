package org.galenahinge.facts;

import java.time.Duration;

/**
 * Decides when a node reads the store itself because those that read it for others have failed. A large change must not cross
 * the link to the store once for each node behind it, all at the same time. Belongs to one thread.
 */
final class StoreTurn {
    /** The last turn at which a node reads the store as soon as others fail, without waiting for those before it. */
    static final int STAND_IN = 1;

    /** The time between the turns of two nodes. */
    private static final Duration INTERVAL = Duration.ofMillis(150);

    /** How much later than its turn a node reads the store at most because newer facts are on their way to it or to others. */
    private static final Duration MAXIMUM_DEFERRAL = Duration.ofMillis(500);

    /** How long a node leaves the store to one that said that newer facts are on their way to it. */
    private static final Duration OTHERS_READ_FOR = Duration.ofSeconds(1);

    private final Duration keptFor;
    private long keptUntilNanos;
    private long othersReadUntilNanos;

    /**
     * @param keptFor how long a node goes on reading the store after its turn has come
     * @param nowNanos the monotonic time, in nanoseconds
     */
    StoreTurn(Duration keptFor, long nowNanos) {
        this.keptFor = keptFor;
        this.keptUntilNanos = nowNanos;
        this.othersReadUntilNanos = nowNanos;
    }

    /**
     * How old the facts of a node are.
     *
     * @param age their age
     * @param staleAfter the age at which they are outdated
     * @param arriving whether a response of another node is on its way
     */
    record Facts(Duration age, Duration staleAfter, boolean arriving) {
        private boolean areOlderThan(Duration sinceStale) {
            return age.compareTo(staleAfter.plus(sinceStale)) > 0;
        }
    }

    /**
     * Tells whether a node may read the store.
     *
     * @param turn the turn of the node, see {@link FactSynchronizer.Peers#storeTurn}
     * @param facts how old its facts are
     * @param nowNanos the monotonic time, in nanoseconds
     * @return whether its turn has come
     */
    boolean hasCome(int turn, Facts facts, long nowNanos) {
        boolean isOnItsWay = facts.arriving() || nowNanos - othersReadUntilNanos < 0;
        boolean isDeferred = isOnItsWay && !facts.areOlderThan(MAXIMUM_DEFERRAL.plus(INTERVAL.multipliedBy(turn)));
        if (turn > 0 && isDeferred) {
            return false;
        }
        if (turn <= STAND_IN) {
            return true;
        }
        if (facts.areOlderThan(INTERVAL.multipliedBy(turn - STAND_IN))) {
            keptUntilNanos = nowNanos + keptFor.toNanos();
        }
        return nowNanos - keptUntilNanos < 0;
    }

    /** Records that newer facts are on their way to another node, which said so. */
    void othersRead(long nowNanos) {
        othersReadUntilNanos = nowNanos + OTHERS_READ_FOR.toNanos();
    }

    /** Ends the turn, since another node has delivered current facts. */
    void end(long nowNanos) {
        keptUntilNanos = nowNanos;
    }
}

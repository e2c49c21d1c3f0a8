package org.galenahinge.limit;

import java.util.Objects;
import java.util.OptionalLong;
import org.galenahinge.limit.NamedLimits.Position;

/**
 * The turns of one limit: the nodes take turns by their positions, so that each knows its own turns without asking.
 *
 * @param rate how fast the turns follow each other
 * @param startNanos when the first turn begins, in nanoseconds
 */
record TurnSchedule(TurnRate rate, long startNanos) {
    private static final double NANOS_PER_SECOND = 1e9;

    /** A turn that was used counts as used although its time was rounded to nanoseconds; in turns. */
    private static final double ROUNDING = 1e-6;

    TurnSchedule {
        Objects.requireNonNull(rate, "rate");
    }

    /**
     * Returns the next turn of a node that has begun, has not lapsed and is not used.
     *
     * @param own the position of the node
     * @param usedNanos the beginning of the last turn that the node used, in nanoseconds
     * @param nowNanos the time, in nanoseconds
     * @return when it began, in nanoseconds; empty if there is no such turn
     */
    OptionalLong nextTurn(Position own, long usedNanos, long nowNanos) {
        double limit = rate.perSecond();
        if (limit <= 0) {
            return OptionalLong.empty();
        }
        double interval = own.nodes() / limit;
        double first = own.index() / limit;
        double now = (nowNanos - startNanos) / NANOS_PER_SECOND;
        double used = (usedNanos - startNanos) / NANOS_PER_SECOND;
        double lapsed = Math.max(now - rate.validity().toNanos() / NANOS_PER_SECOND, used);
        double number = Math.max(0, Math.floor((lapsed - first) / interval + ROUNDING) + 1);
        double turn = first + number * interval;
        return turn <= now ? OptionalLong.of(startNanos + (long) (turn * NANOS_PER_SECOND)) : OptionalLong.empty();
    }

    /** Returns when a turn can no longer be used, in nanoseconds. */
    long lapseNanos(long turnNanos) {
        return turnNanos + rate.validity().toNanos();
    }
}

package org.galenahinge.bench;

import java.util.Locale;
import java.util.Objects;

/**
 * One figure that an experiment measured, with the bound that it must keep, if any.
 *
 * @param name its name, with the unit at the end
 * @param value its value
 * @param bound what it must keep
 * @param limit the limit of the bound
 */
public record Figure(String name, double value, Bound bound, double limit) {
    /** What a figure must keep. */
    public enum Bound {
        /** Nothing. */
        NONE,
        /** At most the limit. */
        AT_MOST,
        /** At least the limit. */
        AT_LEAST
    }

    /** Checks the parts. */
    public Figure {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(bound, "bound");
    }

    /**
     * Creates a figure without a bound.
     *
     * @param name its name
     * @param value its value
     * @return the figure
     */
    public static Figure of(String name, double value) {
        return new Figure(name, value, Bound.NONE, 0);
    }

    /**
     * Creates a figure with an upper bound.
     *
     * @param name its name
     * @param value its value
     * @param limit the greatest value allowed
     * @return the figure
     */
    public static Figure atMost(String name, double value, double limit) {
        return new Figure(name, value, Bound.AT_MOST, limit);
    }

    /**
     * Creates a figure with a lower bound.
     *
     * @param name its name
     * @param value its value
     * @param limit the least value allowed
     * @return the figure
     */
    public static Figure atLeast(String name, double value, double limit) {
        return new Figure(name, value, Bound.AT_LEAST, limit);
    }

    /**
     * Tells whether the bound is kept.
     *
     * @return whether it is
     */
    public boolean isKept() {
        return switch (bound) {
            case NONE -> true;
            case AT_MOST -> value <= limit;
            case AT_LEAST -> value >= limit;
        };
    }

    /**
     * Returns the figure as it stands in the last line of an experiment.
     *
     * @return {@code name=value}, with the bound behind it
     */
    public String render() {
        String text = name + "=" + number(value);
        return switch (bound) {
            case NONE -> text;
            case AT_MOST -> text + "(<=" + number(limit) + (isKept() ? ")" : " MISSED)");
            case AT_LEAST -> text + "(>=" + number(limit) + (isKept() ? ")" : " MISSED)");
        };
    }

    private static String number(double number) {
        return String.format(Locale.ROOT, Math.abs(number) >= 100 ? "%.0f" : "%.3f", number);
    }
}

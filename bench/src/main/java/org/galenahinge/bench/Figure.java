package org.galenahinge.bench;

import java.util.Locale;
import java.util.Objects;

/**
 * One figure that an experiment measured, with the bound that it must meet, if any.
 *
 * @param name its name, with the unit at the end
 * @param value its value
 * @param bound the kind of bound that it must meet
 * @param limit the limit of the bound; unused for {@link Bound#NONE}
 */
public record Figure(String name, double value, Bound bound, double limit) {
    /** The kind of bound on a figure. */
    public enum Bound {
        /** No bound. */
        NONE,
        /** At most the limit. */
        AT_MOST,
        /** At least the limit. */
        AT_LEAST
    }

    /** Rejects a null name or bound. */
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
     * @param limit the maximum value allowed
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
     * @param limit the minimum value allowed
     * @return the figure
     */
    public static Figure atLeast(String name, double value, double limit) {
        return new Figure(name, value, Bound.AT_LEAST, limit);
    }

    /**
     * Returns whether the value meets the bound.
     *
     * @return true also if there is no bound
     */
    public boolean isWithinBound() {
        return switch (bound) {
            case NONE -> true;
            case AT_MOST -> value <= limit;
            case AT_LEAST -> value >= limit;
        };
    }

    /**
     * Formats the figure for the last line that an experiment prints.
     *
     * @return {@code name=value}, followed by the bound and, if it is not met, {@code MISSED}
     */
    public String render() {
        String text = name + "=" + number(value);
        return switch (bound) {
            case NONE -> text;
            case AT_MOST -> text + "(<=" + number(limit) + (isWithinBound() ? ")" : " MISSED)");
            case AT_LEAST -> text + "(>=" + number(limit) + (isWithinBound() ? ")" : " MISSED)");
        };
    }

    private static String number(double number) {
        return String.format(Locale.ROOT, Math.abs(number) >= 100 ? "%.0f" : "%.3f", number);
    }
}

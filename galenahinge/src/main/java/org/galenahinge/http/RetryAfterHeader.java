package org.galenahinge.http;

import io.netty.handler.codec.DateFormatter;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Reads the values of the header {@code Retry-After}: a number of seconds, which may have a fraction, or an HTTP date.
 * Values that are neither, such as negative numbers, are ignored; the longest of several counts.
 */
public final class RetryAfterHeader {
    /** The longest time that is returned; a longer one is shortened to it. */
    public static final Duration MAXIMUM = Duration.ofHours(1);

    private static final Pattern SECONDS = Pattern.compile("\\+?([0-9]+(\\.[0-9]*)?|\\.[0-9]+)([eE][+-]?[0-9]{1,9})?");
    private static final int MAXIMUM_VALUES = 16;
    private static final int MAXIMUM_VALUE_LENGTH = 64;
    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfterHeader() {}

    /**
     * Reads the header.
     *
     * @param values its values, one for each line; a line may hold several, separated by commas
     * @param now the time from which a date counts, best that of the sender's clock
     * @return the time after which to retry, rounded up to a millisecond, from zero to {@link #MAXIMUM}; empty if no value
     *     is readable
     */
    public static Optional<Duration> read(List<String> values, Instant now) {
        Objects.requireNonNull(now, "now");
        return values.stream()
                .limit(MAXIMUM_VALUES)
                .flatMap(line -> readLine(line.strip(), now))
                .max(Duration::compareTo);
    }

    /** Dates contain commas, so a line is split only if it is not a date as a whole. */
    private static Stream<Duration> readLine(String line, Instant now) {
        Optional<Duration> untilDate = readDate(line, now);
        if (untilDate.isPresent()) {
            return untilDate.stream();
        }
        return Stream.of(line.split(",", MAXIMUM_VALUES + 1))
                .limit(MAXIMUM_VALUES)
                .flatMap(value -> readSeconds(value.strip()).stream());
    }

    private static Optional<Duration> readSeconds(String value) {
        if (!SECONDS.matcher(value).matches()) {
            return Optional.empty();
        }
        double millis = Math.min(Double.parseDouble(value) * MILLIS_PER_SECOND, MAXIMUM.toMillis());
        return Optional.of(Duration.ofMillis((long) Math.ceil(millis)));
    }

    private static Optional<Duration> readDate(String value, Instant now) {
        if (value.isEmpty() || value.length() > MAXIMUM_VALUE_LENGTH) {
            return Optional.empty();
        }
        return Optional.ofNullable(DateFormatter.parseHttpDate(value))
                .map(Date::toInstant)
                .map(date -> bounded(Duration.between(now, date)));
    }

    private static Duration bounded(Duration time) {
        if (time.isNegative()) {
            return Duration.ZERO;
        }
        return time.compareTo(MAXIMUM) > 0 ? MAXIMUM : time;
    }
}

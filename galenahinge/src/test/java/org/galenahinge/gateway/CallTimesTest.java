package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.catalog.Route;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CallTimesTest {
    private static final long ARRIVED = 5_000_000_000L;
    private static final Route ROUTE = new Route(
            "r",
            "h",
            "/",
            RequestKind.RESUMABLE_STREAM,
            Duration.ofSeconds(6),
            Duration.ofMillis(400),
            Duration.ofMillis(400),
            1,
            List.of(new Backend("s", 1)),
            2,
            false);

    /** A first try has all its time; one that comes back after a second is late, and waits only for a moment. */
    @ParameterizedTest
    @CsvSource({"6032, 400, 6000, 180", "6000, 400, 6000, 180", "5800, 200, 5800, 60", "5000, -600, 5000, 60"})
    void countsFromTheCallersFirstTry(long leftMillis, long onTimeMillis, long limitMillis, long waitMillis) {
        CallTimes times = CallTimes.of(call(leftMillis), ROUTE);
        assertThat(millis(times.onTimeNanos())).isEqualTo(onTimeMillis);
        assertThat(millis(times.limitNanos())).isEqualTo(limitMillis);
        assertThat(millis(times.waitForPlaceUntil())).isEqualTo(waitMillis);
        assertThat(times.isLate(ARRIVED)).isEqualTo(onTimeMillis <= 0);
    }

    /** No wait goes past the time of the request, and the time left never falls below zero. */
    @ParameterizedTest
    @CsvSource({"20", "50", "300"})
    void neverWaitsPastTheLimit(long leftMillis) {
        CallTimes times = CallTimes.of(call(leftMillis), ROUTE);
        assertThat(millis(times.waitForPlaceUntil())).isLessThanOrEqualTo(leftMillis);
        assertThat(millis(times.waitForEnginesUntil())).isLessThanOrEqualTo(leftMillis);
        assertThat(times.left(ARRIVED + Duration.ofSeconds(9).toNanos())).isZero();
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(nanos - ARRIVED).toMillis();
    }

    private static Call call(long leftMillis) {
        CallHead head = new CallHead(
                Optional.empty(), Optional.of(Duration.ofMillis(leftMillis)), Optional.empty(), Optional.empty());
        return new Call(
                HttpMethod.POST, "/x", HttpVersion.HTTP_1_1, new DefaultHttpHeaders(), new byte[0], head, ARRIVED);
    }
}

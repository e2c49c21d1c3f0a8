package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.catalog.Route;
import org.galenahinge.placement.MixedPromptSizes;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.PromptSizePolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestDeadlinesTest {
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

    private static final EngineProfile ENGINE = new EngineProfile(
            12,
            685_000,
            7.4,
            0.0232,
            0.0322,
            31.9,
            1.18,
            2_048,
            5,
            16,
            OptionalInt.of(64),
            32_768,
            List.of("m"),
            OptionalInt.of(949));
    private static final Route OTHER_ROUTE = new Route(
            "o",
            "h",
            "/o/",
            RequestKind.STREAM,
            Duration.ofSeconds(6),
            Duration.ofMillis(800),
            Duration.ofMillis(400),
            1,
            List.of(new Backend("s", 1)),
            2,
            false);
    private static final PromptSizePolicy PROMPT_SIZES =
            MixedPromptSizes.select(Optional.of(ENGINE), List.of(ROUTE, OTHER_ROUTE));

    /** A first attempt has the route's full timeout; a retry one second later is late and waits only the minimum. */
    @ParameterizedTest
    @CsvSource({"6032, 400, 6000, 180", "6000, 400, 6000, 180", "5800, 200, 5800, 60", "5000, -600, 5000, 60"})
    void countsFromTheCallersFirstAttempt(
            long remainingMillis, long onTimeMillis, long deadlineMillis, long waitMillis) {
        RequestDeadlines deadlines = RequestDeadlines.of(request(remainingMillis), ROUTE);
        assertThat(millis(deadlines.onTimeNanos())).isEqualTo(onTimeMillis);
        assertThat(millis(deadlines.deadlineNanos())).isEqualTo(deadlineMillis);
        assertThat(millis(deadlines.slotWaitEndNanos())).isEqualTo(waitMillis);
        assertThat(deadlines.isLate(ARRIVED)).isEqualTo(onTimeMillis <= 0);
    }

    /** No wait goes past the deadline of the request, and the remaining time is never negative. */
    @ParameterizedTest
    @CsvSource({"20", "50", "300"})
    void neverWaitsPastTheDeadline(long remainingMillis) {
        RequestDeadlines deadlines = RequestDeadlines.of(request(remainingMillis), ROUTE);
        assertThat(millis(deadlines.slotWaitEndNanos())).isLessThanOrEqualTo(remainingMillis);
        assertThat(millis(deadlines.engineWaitEndNanos())).isLessThanOrEqualTo(remainingMillis);
        assertThat(deadlines.remaining(ARRIVED + Duration.ofSeconds(9).toNanos()))
                .isZero();
    }

    /** A request waits for an upstream that wants none yet if its response can be there before the deadline, if late. */
    @ParameterizedTest
    @CsvSource({"6000, 100, 600", "6000, 3000, 3500", "6000, 5500, 5780", "6000, 9000, 5780", "100, 50, -120"})
    void waitsForAnUpstreamThatWantsNoRequestsYet(long remainingMillis, long returnMillis, long expectedMillis) {
        RequestDeadlines deadlines = RequestDeadlines.of(request(remainingMillis), ROUTE);
        long returnNanos = ARRIVED + Duration.ofMillis(returnMillis).toNanos();
        assertThat(millis(deadlines.pauseWaitEndNanos(returnNanos))).isEqualTo(expectedMillis);
    }

    /** Guards against a change of behaviour for services that treat prompts of all sizes alike, and for plain requests. */
    @ParameterizedTest
    @CsvSource({"6000, 1", "6000, 3880", "5800, 949", "20, 949"})
    void isUnchangedWithoutAPolicyOrAPrompt(long remainingMillis, int promptTokens) {
        RequestDeadlines plain = RequestDeadlines.of(request(remainingMillis), ROUTE);
        assertThat(plain.queueOrderNanos()).isEqualTo(ARRIVED);
        assertThat(RequestDeadlines.of(request(remainingMillis, promptTokens), ROUTE))
                .isEqualTo(plain);
        assertThat(RequestDeadlines.of(request(remainingMillis), ROUTE, PROMPT_SIZES))
                .isEqualTo(plain);
    }

    /**
     * Guards against a short prompt that stops waiting although a slot would still be in time, and against a wait past the
     * deadline. A long prompt waits as without the policy, and is ordered by the end of its wait.
     */
    @ParameterizedTest
    @CsvSource({"6000, 1, 300, 300", "6000, 949, 270, 270", "6000, 3880, 180, 180", "5900, 1, 200, 200", "20, 1, 20, 20"
    })
    void waitsAsLongAsThePromptCanStillBeReadInTime(
            long remainingMillis, int promptTokens, long waitMillis, long orderMillis) {
        RequestDeadlines deadlines = RequestDeadlines.of(request(remainingMillis, promptTokens), ROUTE, PROMPT_SIZES);
        assertThat(millis(deadlines.slotWaitEndNanos())).isEqualTo(waitMillis);
        assertThat(millis(deadlines.queueOrderNanos())).isEqualTo(orderMillis);
    }

    private static long millis(long nanos) {
        return Duration.ofNanos(nanos - ARRIVED).toMillis();
    }

    private static CallerRequest request(long remainingMillis) {
        return request(remainingMillis, Optional.empty());
    }

    private static CallerRequest request(long remainingMillis, int promptTokens) {
        return request(remainingMillis, Optional.of(new PromptShape("m", promptTokens, 100)));
    }

    private static CallerRequest request(long remainingMillis, Optional<PromptShape> prompt) {
        RequestMetadata metadata = new RequestMetadata(
                Optional.empty(), Optional.of(Duration.ofMillis(remainingMillis)), Optional.empty(), prompt, List.of());
        return new CallerRequest(
                HttpMethod.POST, "/x", HttpVersion.HTTP_1_1, new DefaultHttpHeaders(), new byte[0], metadata, ARRIVED);
    }
}

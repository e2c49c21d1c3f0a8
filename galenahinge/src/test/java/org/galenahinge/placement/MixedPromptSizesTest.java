package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.catalog.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class MixedPromptSizesTest {
    private static final long NOW = 1_000_000_000L;
    private static final Duration USUAL_TIME = Duration.ofMillis(220);
    private static final PromptSizePolicy POLICY =
            MixedPromptSizes.select(Optional.of(engine(OptionalInt.of(949))), streams(402, 802));

    /** Guards against a change of behaviour for deployments whose configuration does not call for it. */
    @ParameterizedTest
    @MethodSource("configurationsWithoutMixedSizes")
    void doesNothingWithoutMixedSizes(Optional<EngineProfile> engine, List<Route> routes) {
        PromptSizePolicy policy = MixedPromptSizes.select(engine, routes);
        assertThat(policy).isSameAs(PromptSizePolicy.NONE);
        assertThat(policy.penaltyMillis(load(6, 2), NOW)).isZero();
        assertThat(policy.slotWaitMargin(prompt(1), USUAL_TIME)).isEqualTo(USUAL_TIME);
        assertThat(policy.queueOrderNanos(NOW, NOW + USUAL_TIME.toNanos())).isEqualTo(NOW);
    }

    static Stream<Arguments> configurationsWithoutMixedSizes() {
        Optional<EngineProfile> published = Optional.of(engine(OptionalInt.of(949)));
        return Stream.of(
                Arguments.of(Optional.empty(), streams(402, 802)),
                Arguments.of(Optional.of(engine(OptionalInt.empty())), streams(402, 802)),
                Arguments.of(published, List.of()),
                Arguments.of(published, streams(402, 402)),
                Arguments.of(
                        published,
                        List.of(route(RequestKind.IDEMPOTENT, 100), streams(402).get(0))));
    }

    /** Guards against the rejection of a short prompt that would have been in time, and against longer waits than before. */
    @ParameterizedTest
    @CsvSource({"1, 100", "949, 130", "1290, 141", "3880, 220", "100000, 220"})
    void keepsTheTimeToReadThePrompt(int promptTokens, long expectedMillis) {
        assertThat(POLICY.slotWaitMargin(prompt(promptTokens), USUAL_TIME))
                .isEqualTo(Duration.ofMillis(expectedMillis));
    }

    /** Guards against starvation: a request is not overtaken by any that arrives more than 350 ms after it. */
    @ParameterizedTest
    @CsvSource({"60, 60", "302, 302", "702, 350", "10000, 350", "-5, 0"})
    void boundsOvertaking(long waitMillis, long expectedMillis) {
        long waitEnd = NOW + Duration.ofMillis(waitMillis).toNanos();
        assertThat(POLICY.queueOrderNanos(NOW, waitEnd))
                .isEqualTo(NOW + Duration.ofMillis(expectedMillis).toNanos());
    }

    /** Guards against prompts of other nodes that are not counted, and against counting those of this node twice. */
    @Test
    void expectsUnreadPromptsOfOtherNodes() {
        assertThat(POLICY.penaltyMillis(load(0, 6), NOW)).isZero();
        double few = POLICY.penaltyMillis(load(3, 0), NOW);
        assertThat(few).isPositive();
        assertThat(POLICY.penaltyMillis(load(9, 0), NOW)).isGreaterThan(2 * few);
    }

    private static UpstreamLoad load(int others, int own) {
        UpstreamLoad load = new UpstreamLoad(0);
        load.recordReport(new LoadReport(others, 0, 0, 1, false, Optional.empty(), Optional.empty()), NOW);
        IntStream.range(0, own).forEach(number -> load.recordSent(number, 100, NOW));
        return load;
    }

    private static PromptShape prompt(int tokens) {
        return new PromptShape("m", tokens, 100);
    }

    private static List<Route> streams(long... targetMillis) {
        return Arrays.stream(targetMillis)
                .mapToObj(target -> route(RequestKind.RESUMABLE_STREAM, target))
                .toList();
    }

    private static Route route(RequestKind kind, long targetMillis) {
        Duration target = Duration.ofMillis(targetMillis);
        List<Backend> backends = List.of(new Backend("s", 1));
        return new Route("r", "h", "/", kind, Duration.ofSeconds(6), target, target, 1, backends, 2, false);
    }

    private static EngineProfile engine(OptionalInt usualPromptTokens) {
        return new EngineProfile(
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
                usualPromptTokens);
    }
}

package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.galenahinge.catalog.Backend;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.catalog.RequestKind;
import org.galenahinge.catalog.Route;
import org.galenahinge.placement.MixedPromptSizes;
import org.galenahinge.placement.PromptSizePolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Long prompts beside short ones: without regard to sizes, short prompts are rejected while a slot would still have been in
 * time for them, and nothing may be gained for them at the expense of the long ones.
 */
class PromptMixTest {
    private static final int SEEDS = 6;

    /** The first seed; the policy's constants were chosen with the seeds 0 to 5. */
    private static final int FIRST_SEED = 100;

    private static final Duration TIME = Duration.ofMinutes(2);
    private static final double LOAD = 0.85;
    private static final List<Route> ROUTES =
            Stream.of(403, 402, 802).map(PromptMixTest::route).toList();

    /** What the requests below the median gain at least, as a share of all of them. */
    private static final double MINIMUM_GAIN = 0.005;

    /** What the requests above the median may lose: the error of the model with these seeds. */
    private static final double TOLERANCE = 0.002;

    /** The largest tenth must be served at least so often, in relation to all. */
    private static final double MINIMUM_SERVED_OF_LARGEST = 0.5;

    @ParameterizedTest(name = "prefill {0} tokens per ms, long prompts {3}")
    @CsvSource({
        "31.9, 7.4, 1050, 0.1",
        "31.9, 7.4, 900, 0.01",
        "20.7, 9.27, 1050, 0.1",
        "20.7, 9.27, 900, 0.01",
    })
    void moreOfBothKindsMeetTheirTarget(double prefillRate, double stepMillis, int usualPrompt, double longShare) {
        EngineProfile engine = engine(prefillRate, stepMillis, usualPrompt);
        List<PromptMixModel> before = run(engine, longShare, PromptSizePolicy.NONE);
        List<PromptMixModel> after = run(engine, longShare, MixedPromptSizes.select(Optional.of(engine), ROUTES));
        print("without", before);
        print("with", after);
        assertThat(onTime(after, 0, 0.5) - onTime(before, 0, 0.5)).isGreaterThan(MINIMUM_GAIN);
        assertThat(onTime(after, 0.5, 1) - onTime(before, 0.5, 1)).isGreaterThan(-TOLERANCE);
        assertThat(served(after, 0.9) / served(after, 0)).isGreaterThan(MINIMUM_SERVED_OF_LARGEST);
    }

    /** Under overload the late ones among the long prompts must not be left to the short ones either. */
    @ParameterizedTest
    @CsvSource({"31.9, 7.4, 2500, 1", "31.9, 7.4, 1050, 0.1", "20.7, 9.27, 2500, 1", "20.7, 9.27, 900, 0.01"})
    void servesTheLargestUnderOverload(double prefillRate, double stepMillis, int usualPrompt, double longShare) {
        EngineProfile engine = engine(prefillRate, stepMillis, usualPrompt);
        PromptSizePolicy policy = MixedPromptSizes.select(Optional.of(engine), ROUTES);
        PromptMixModel model = new PromptMixModel(14, 9, engine, longShare, policy, 7);
        model.run(TIME, 2);
        assertThat(model.outcome(0.9, 1).served() / model.outcome(0, 1).served())
                .isGreaterThan(MINIMUM_SERVED_OF_LARGEST);
    }

    private static EngineProfile engine(double prefillRate, double stepMillis, int usualPrompt) {
        return new EngineProfile(
                12,
                317_000,
                stepMillis,
                0.0232,
                0.0322,
                prefillRate,
                1.18,
                2_048,
                5,
                16,
                OptionalInt.of(64),
                32_768,
                List.of("m"),
                OptionalInt.of(usualPrompt));
    }

    private static Route route(int targetMillis) {
        Duration target = Duration.ofMillis(targetMillis);
        List<Backend> backends = List.of(new Backend("s", 1));
        Duration timeout = Duration.ofSeconds(6);
        return new Route("r", "h", "/", RequestKind.RESUMABLE_STREAM, timeout, target, target, 1, backends, 2, false);
    }

    private static List<PromptMixModel> run(EngineProfile engine, double longShare, PromptSizePolicy policy) {
        return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .mapToObj(seed -> {
                    PromptMixModel model = new PromptMixModel(14, 9, engine, longShare, policy, seed);
                    model.run(TIME, LOAD);
                    return model;
                })
                .toList();
    }

    private static double onTime(List<PromptMixModel> models, double from, double to) {
        return mean(models, from, to, PromptMixModel.Outcome::onTime);
    }

    private static double served(List<PromptMixModel> models, double from) {
        return mean(models, from, 1, PromptMixModel.Outcome::served);
    }

    private static double mean(
            List<PromptMixModel> models, double from, double to, ToDoubleFunction<PromptMixModel.Outcome> value) {
        return models.stream()
                .map(model -> model.outcome(from, to))
                .mapToDouble(value)
                .average()
                .orElse(0);
    }

    private static void print(String name, List<PromptMixModel> models) {
        for (double[] range : new double[][] {{0, 0.5}, {0.5, 1}, {0.9, 1}}) {
            System.out.printf(
                    "%-8s %.1f to %.1f: median %.0f, 95th %.0f, 99th %.0f ms, on time %.4f, served %.4f%n",
                    name,
                    range[0],
                    range[1],
                    mean(models, range[0], range[1], PromptMixModel.Outcome::median),
                    mean(models, range[0], range[1], PromptMixModel.Outcome::p95),
                    mean(models, range[0], range[1], PromptMixModel.Outcome::p99),
                    onTime(models, range[0], range[1]),
                    mean(models, range[0], range[1], PromptMixModel.Outcome::served));
        }
    }
}

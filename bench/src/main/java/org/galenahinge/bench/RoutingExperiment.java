package org.galenahinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import org.galenahinge.bench.LocalFleet.Vm;

/** Compares routing by prompt prefix with least-loaded routing, under the same load in one run. */
final class RoutingExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "routing",
            "drafts at 0.8 of capacity: first token p95 <= 820 ms, between tokens p95 <= 44 ms, prefix hits >= 1.5 "
                    + "times those of least-loaded routing, its tail no worse",
            100,
            48,
            RoutingExperiment::run);

    private static final int MODELS = 4;
    private static final int CAPACITY = 12;
    private static final int TOKENS = 24;
    private static final int PREFIX_WORDS = 600;

    private RoutingExperiment() {}

    private static Result run(Experiment.Settings settings) {
        Result result = Result.of("percentile", "first token, ms");
        Measurement leastLoaded = measure(settings, "least-loaded");
        Measurement prefix = measure(settings, "prefix");
        for (double percentile : new double[] {10, 25, 50, 75, 90, 95, 99}) {
            result.point("least-loaded", percentile, leastLoaded.recorder().firstTokenMillis(percentile));
            result.point("prefix", percentile, prefix.recorder().firstTokenMillis(percentile));
        }
        return result.figure(Figure.of("least_loaded_hit_share", leastLoaded.hitShare()))
                .figure(Figure.of("prefix_hit_share", prefix.hitShare()))
                .figure(Figure.atLeast("hits_over_least_loaded", prefix.hitShare() / leastLoaded.hitShare(), 1.5))
                .figure(Figure.of(
                        "least_loaded_first_token_p95_ms",
                        leastLoaded.recorder().firstTokenMillis(95)))
                .figure(Figure.atMost("first_token_p95_ms", prefix.recorder().firstTokenMillis(95), 820))
                .figure(Figure.atMost("between_tokens_p95_ms", prefix.recorder().betweenTokensMillis(95), 44))
                .figure(Figure.atMost(
                        "p99_over_least_loaded",
                        prefix.recorder().firstTokenMillis(99)
                                / leastLoaded.recorder().firstTokenMillis(99),
                        1))
                .figure(Figure.atMost("wrong", prefix.recorder().drafts(Outcome.WRONG), 0))
                .figure(Figure.of("answered", prefix.recorder().drafts(Outcome.ANSWERED)));
    }

    private static Measurement measure(Experiment.Settings settings, String routing) {
        // Each engine's cache has room for a quarter of the prefixes, so that the choice of the replica affects cache
        // hits.
        try (LocalFleet fleet = Fleets.startReady(
                settings.withEntryFlags(List.of("--draft-routing", routing)),
                2,
                MODELS,
                0,
                "--step-micros",
                "8000",
                "--capacity",
                Integer.toString(CAPACITY),
                "--cache-tokens",
                "6000",
                "--prompt-tokens-per-step",
                "128")) {
            double capacity = MODELS * CAPACITY / (TOKENS * 0.0102);
            LoadGenerator.Mix mix = new LoadGenerator.Mix(
                    capacity * 0.8 * 0.5, 0, fleet.profile().model(), PREFIX_WORDS, TOKENS, List.of(1.0, 1.0, 1.0));
            OutcomeRecorder warmUp = new OutcomeRecorder();
            OverheadExperiment.runLoad(Fleets.entryUrls(fleet), mix, warmUp, settings.seed() + 1, 3_000);
            long hitsBefore = sum(fleet, "cachedPromptTokens");
            long promptBefore = sum(fleet, "promptTokens");
            OutcomeRecorder recorder = new OutcomeRecorder();
            OverheadExperiment.runLoad(
                    Fleets.entryUrls(fleet), mix, recorder, settings.seed(), settings.quick() ? 6_000 : 25_000);
            double hits = sum(fleet, "cachedPromptTokens") - hitsBefore;
            return new Measurement(recorder, hits / (sum(fleet, "promptTokens") - promptBefore));
        }
    }

    private static long sum(LocalFleet fleet, String field) {
        long sum = 0;
        for (Vm vm : fleet.models()) {
            Optional<JsonNode> state = HttpTool.get(fleet.upstreamUrl(vm) + "/engine/state");
            sum += state.map(document -> document.path(field).asLong()).orElse(0L);
        }
        return sum;
    }

    private record Measurement(OutcomeRecorder recorder, double hitShare) {}
}

package org.galenahinge.bench;

import java.time.Duration;
import java.util.List;
import org.galenahinge.bench.LocalFleet.Vm;

/**
 * Measures the latency that one entry and its slot processes add to that of the engines, at one entry's share of the
 * target load, and the resources that they use when idle.
 */
final class OverheadExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "overhead",
            "one entry at 65 requests and 16,300 tokens/s: adds <= 2 ms median, <= 5 ms p99 to the first token; idle "
                    + "slot < 96 MB, entry < 256 MB, both < 1.2% of a core and 2 KB/s of control",
            75,
            45,
            OverheadExperiment::run);

    private static final double REQUESTS_PER_SECOND = 65;
    private static final int TOKENS = 250;
    private static final int MODELS = 4;
    private static final double MEGABYTE = 1 << 20;
    private static final double MAXIMUM_IDLE_CORE_SHARE = 0.012;

    private OverheadExperiment() {}

    private static Result run(Experiment.Settings settings) {
        Result result = Result.of("percentile", "first token, ms");
        try (LocalFleet fleet = Fleets.startReady(
                settings,
                1,
                MODELS,
                1,
                "--step-micros",
                "2000",
                "--step-micros-per-request",
                "5",
                "--capacity",
                "64")) {
            measureIdle(fleet, settings, result);
            LoadGenerator.Mix mix = new LoadGenerator.Mix(
                    REQUESTS_PER_SECOND, 0, fleet.profile().model(), 40, TOKENS, List.of(1.0, 1.0, 1.0));
            long millis = settings.quick() ? 8_000 : 20_000;
            CapacityExperiment.warmUp(fleet, settings);
            OutcomeRecorder direct = new OutcomeRecorder();
            List<String> engines =
                    fleet.models().stream().map(fleet::upstreamUrl).toList();
            runLoad(engines, mix, direct, settings.seed(), millis);
            OutcomeRecorder through = new OutcomeRecorder();
            Vm entry = fleet.vms("entry").get(0);
            long processorNanosBefore = fleet.process(entry).processorNanos();
            runLoad(Fleets.entryUrls(fleet), mix, through, settings.seed(), millis);
            long entryNanos = fleet.process(entry).processorNanos() - processorNanosBefore;
            report(result, direct, through, entryNanos);
        }
        return result;
    }

    private static void measureIdle(LocalFleet fleet, Experiment.Settings settings, Result result) {
        Vm entry = fleet.vms("entry").get(0);
        Vm order = fleet.orders().get(0);
        HttpTool.pause(3_000);
        long seconds = settings.quick() ? 6 : 12;
        long entryNanos = fleet.process(entry).processorNanos();
        long slotNanos = fleet.process(order).processorNanos();
        long entryBytes = Fleets.metric(entry, "wire.control.bytes");
        long slotBytes = Fleets.metric(order, "wire.control.bytes");
        HttpTool.pause(seconds * 1_000);
        double spanNanos = Duration.ofSeconds(seconds).toNanos();
        result.figure(Figure.atMost(
                        "idle_entry_core_share",
                        (fleet.process(entry).processorNanos() - entryNanos) / spanNanos,
                        MAXIMUM_IDLE_CORE_SHARE))
                .figure(Figure.atMost(
                        "idle_slot_core_share",
                        (fleet.process(order).processorNanos() - slotNanos) / spanNanos,
                        MAXIMUM_IDLE_CORE_SHARE))
                .figure(Figure.atMost(
                        "idle_entry_control_bytes_per_s",
                        (Fleets.metric(entry, "wire.control.bytes") - entryBytes) / (double) seconds,
                        2_048))
                .figure(Figure.atMost(
                        "idle_slot_control_bytes_per_s",
                        (Fleets.metric(order, "wire.control.bytes") - slotBytes) / (double) seconds,
                        2_048))
                .figure(Figure.atMost("idle_slot_mb", fleet.process(order).residentBytes() / MEGABYTE, 96))
                .figure(Figure.atMost("idle_entry_mb", fleet.process(entry).residentBytes() / MEGABYTE, 256));
    }

    /** Runs a load for {@code millis}, then waits up to 20 seconds for the outcomes of the requests in flight. */
    static void runLoad(List<String> urls, LoadGenerator.Mix mix, OutcomeRecorder recorder, long seed, long millis) {
        try (LoadGenerator load = LoadGenerator.start(urls, mix, recorder, seed)) {
            HttpTool.pause(millis);
            load.stop(Duration.ofSeconds(20));
        }
    }

    private static void report(Result result, OutcomeRecorder direct, OutcomeRecorder through, long entryNanos) {
        for (double percentile : new double[] {10, 25, 50, 75, 90, 95, 99, 99.9}) {
            result.point("direct", percentile, direct.firstTokenMillis(percentile));
            result.point("through", percentile, through.firstTokenMillis(percentile));
        }
        long drafts = through.drafts(Outcome.ANSWERED);
        result.figure(Figure.of("direct_p50_ms", direct.firstTokenMillis(50)))
                .figure(Figure.of("direct_p99_ms", direct.firstTokenMillis(99)))
                .figure(Figure.atMost("added_p50_ms", through.firstTokenMillis(50) - direct.firstTokenMillis(50), 2))
                .figure(Figure.atMost("added_p99_ms", through.firstTokenMillis(99) - direct.firstTokenMillis(99), 5))
                .figure(Figure.atMost(
                        "added_between_tokens_p99_ms",
                        through.betweenTokensMillis(99) - direct.betweenTokensMillis(99),
                        5))
                .figure(Figure.atLeast("answered", drafts, direct.drafts(Outcome.ANSWERED) * 0.99))
                .figure(Figure.atMost("wrong", through.drafts(Outcome.WRONG), 0))
                .figure(Figure.of("entry_cpu_us_per_token", entryNanos / 1e3 / Math.max(1, drafts * TOKENS)));
    }
}

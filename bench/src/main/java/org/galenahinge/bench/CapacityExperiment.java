package org.galenahinge.bench;

import java.time.Duration;
import java.util.List;
import org.galenahinge.bench.LocalFleet.Vm;

/** Measures the processor time that an entry and the slot processes use for each request, token and order. */
final class CapacityExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "capacity",
            "processor time of one entry and its slots for each request, token and order, at several rates; no bound",
            120,
            45,
            CapacityExperiment::run);

    private static final int MODELS = 4;
    private static final int ORDERS = 2;
    private static final int SHORT_TOKENS = 10;
    private static final int LONG_TOKENS = 250;
    private static final double NANOS_PER_MICRO = 1e3;

    private final Experiment.Settings settings;
    private final LocalFleet fleet;
    private final Result result = Result.of("rate, a second", "processor time, cores");

    private CapacityExperiment(Experiment.Settings settings, LocalFleet fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    private static Result run(Experiment.Settings settings) {
        try (LocalFleet fleet = Fleets.startReady(
                settings,
                1,
                MODELS,
                ORDERS,
                "--step-micros",
                "2000",
                "--step-micros-per-request",
                "5",
                "--capacity",
                "64")) {
            return new CapacityExperiment(settings, fleet).run();
        }
    }

    private Result run() {
        long millis = settings.quick() ? 5_000 : 12_000;
        warmUp(fleet, settings);
        Cost shortDrafts = measureCost("drafts of " + SHORT_TOKENS, 65, 0, SHORT_TOKENS, millis);
        Cost longDrafts = measureCost("drafts of " + LONG_TOKENS, 65, 0, LONG_TOKENS, millis);
        Cost lowOrderRate = measureCost("orders", 0, 100, 1, millis);
        Cost highOrderRate = measureCost("orders", 0, 300, 1, millis);
        double entryMicrosPerToken = microsPerUnit(
                longDrafts.entryNanos() - shortDrafts.entryNanos(), longDrafts.tokens() - shortDrafts.tokens());
        double slotMicrosPerToken = microsPerUnit(
                longDrafts.slotNanos() - shortDrafts.slotNanos(), longDrafts.tokens() - shortDrafts.tokens());
        double entryMicrosPerRequest =
                microsPerUnit(shortDrafts.entryNanos(), shortDrafts.requests()) - SHORT_TOKENS * entryMicrosPerToken;
        double slotMicrosPerRequest =
                microsPerUnit(shortDrafts.slotNanos(), shortDrafts.requests()) - SHORT_TOKENS * slotMicrosPerToken;
        return result.figure(Figure.of("entry_us_per_token", entryMicrosPerToken))
                .figure(Figure.of("slots_us_per_token", slotMicrosPerToken))
                .figure(Figure.of("entry_us_per_request", entryMicrosPerRequest))
                .figure(Figure.of("slots_us_per_request", slotMicrosPerRequest))
                .figure(Figure.of("entry_us_per_order", microsPerOrder(lowOrderRate, highOrderRate, true)))
                .figure(Figure.of("slots_us_per_order", microsPerOrder(lowOrderRate, highOrderRate, false)))
                .figure(Figure.of("entry_cores_at_target", longDrafts.entryNanos() / 1e6 / millis))
                .figure(Figure.of("order_p50_ms", highOrderRate.orderMillis()))
                .figure(Figure.of(
                        "entry_mb", fleet.process(fleet.vms("entry").get(0)).residentBytes() / 1e6));
    }

    /**
     * Runs a load that is not measured. The Java runtime compiles a method after a few thousand runs, and before that a
     * request costs many times as much.
     */
    static void warmUp(LocalFleet fleet, Experiment.Settings settings) {
        long millis = settings.quick() ? 3_000 : 12_000;
        OutcomeRecorder recorder = new OutcomeRecorder();
        String model = fleet.profile().model();
        LoadGenerator.Mix requests = new LoadGenerator.Mix(350, 150, model, 20, 2, List.of(1.0, 1.0));
        OverheadExperiment.runLoad(Fleets.entryUrls(fleet), requests, recorder, settings.seed() + 1, millis);
        LoadGenerator.Mix tokens = new LoadGenerator.Mix(60, 0, model, 20, LONG_TOKENS, List.of(1.0, 1.0));
        OverheadExperiment.runLoad(Fleets.entryUrls(fleet), tokens, recorder, settings.seed() + 2, millis);
    }

    private static double microsPerOrder(Cost lowRate, Cost highRate, boolean entry) {
        long nanos = entry ? highRate.entryNanos() - lowRate.entryNanos() : highRate.slotNanos() - lowRate.slotNanos();
        return microsPerUnit(nanos, highRate.requests() - lowRate.requests());
    }

    private static double microsPerUnit(long nanos, long units) {
        return nanos / NANOS_PER_MICRO / Math.max(1, units);
    }

    private Cost measureCost(String series, double drafts, double orders, int tokens, long millis) {
        OutcomeRecorder recorder = new OutcomeRecorder();
        LoadGenerator.Mix mix =
                new LoadGenerator.Mix(drafts, orders, fleet.profile().model(), 20, tokens, List.of(1.0, 1.0));
        long entryBefore = processorNanos(fleet.vms("entry"));
        long slotsBefore = processorNanos(fleet.vms("upstream"));
        try (LoadGenerator load = LoadGenerator.start(Fleets.entryUrls(fleet), mix, recorder, settings.seed())) {
            HttpTool.pause(millis);
            load.stop(Duration.ofSeconds(15));
        }
        long answered = recorder.drafts(Outcome.ANSWERED) + recorder.orders(Outcome.ANSWERED);
        Cost cost = new Cost(
                answered,
                recorder.drafts(Outcome.ANSWERED) * tokens,
                processorNanos(fleet.vms("entry")) - entryBefore,
                processorNanos(fleet.vms("upstream")) - slotsBefore,
                recorder.orderMillis(50));
        result.point("entry, " + series, answered * 1_000.0 / millis, cost.entryNanos() / 1e6 / millis);
        result.point("slots, " + series, answered * 1_000.0 / millis, cost.slotNanos() / 1e6 / millis);
        return cost;
    }

    private long processorNanos(List<Vm> vms) {
        return vms.stream().mapToLong(vm -> fleet.process(vm).processorNanos()).sum();
    }

    private record Cost(long requests, long tokens, long entryNanos, long slotNanos, double orderMillis) {}
}

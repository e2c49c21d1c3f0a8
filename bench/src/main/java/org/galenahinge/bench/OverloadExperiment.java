package org.galenahinge.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Sends more drafts than the engines have capacity for, most of them from one organisation. */
final class OverloadExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "overload",
            "drafts at 0.8, 1, 1.5, 2 and 5 times capacity, one of ten organisations sending 90%: goodput at 2 and 5 "
                    + ">= 0.9 of the peak, small organisations keep >= 0.95 of what they send within their share",
            110,
            48,
            OverloadExperiment::run);

    private static final int MODELS = 3;
    private static final int CAPACITY = 8;
    private static final int TOKENS = 24;
    private static final double STEP_SECONDS = 0.0080 + 0.0002 * (CAPACITY - 1);

    private OverloadExperiment() {}

    private static Result run(Experiment.Settings settings) {
        Result result = Result.of("load, times capacity", "drafts answered a second");
        double capacity = MODELS * CAPACITY / (TOKENS * STEP_SECONDS);
        List<Double> factors = settings.quick() ? List.of(1.0, 2.0, 5.0) : List.of(0.8, 1.0, 1.5, 2.0, 5.0);
        double peak = 0;
        List<Double> goodputPastSaturation = new ArrayList<>();
        double minimumSmallAnsweredShare = 1;
        long wrong = 0;
        try (LocalFleet fleet = Fleets.startReady(
                settings, 2, MODELS, 0, "--step-micros", "8000", "--capacity", Integer.toString(CAPACITY))) {
            for (double factor : factors) {
                OutcomeRecorder recorder = new OutcomeRecorder();
                double seconds = runLoad(fleet, settings, recorder, capacity * factor);
                double goodput = recorder.drafts(Outcome.ANSWERED) / seconds;
                peak = Math.max(peak, goodput);
                wrong += recorder.drafts(Outcome.WRONG);
                if (factor >= 2) {
                    goodputPastSaturation.add(goodput);
                    minimumSmallAnsweredShare =
                            Math.min(minimumSmallAnsweredShare, recorder.smallOrganisationsAnsweredShare());
                }
                result.point("goodput", factor, goodput)
                        .figure(Figure.of("goodput_at_" + factor, goodput))
                        .figure(Figure.of("first_token_p95_ms_at_" + factor, recorder.firstTokenMillis(95)))
                        .figure(Figure.of("not_run_at_" + factor, recorder.drafts(Outcome.NOT_RUN)))
                        .figure(Figure.of("no_verdict_at_" + factor, recorder.drafts(Outcome.NO_VERDICT)))
                        .figure(Figure.of("small_served_at_" + factor, recorder.smallOrganisationsAnsweredShare()));
            }
        }
        double minimumGoodput =
                goodputPastSaturation.stream().mapToDouble(value -> value).min().orElse(0);
        return result.figure(Figure.atLeast("goodput_past_saturation_of_peak", minimumGoodput / peak, 0.9))
                .figure(Figure.atLeast("small_organisations_served", minimumSmallAnsweredShare, 0.95))
                .figure(Figure.atMost("wrong", wrong, 0));
    }

    /** Runs the load for one measurement and returns its duration, in seconds. */
    private static double runLoad(
            LocalFleet fleet, Experiment.Settings settings, OutcomeRecorder recorder, double perSecond) {
        List<Double> shares = new ArrayList<>(List.of(perSecond * 0.9));
        for (int small = 0; small < 9; small++) {
            shares.add(perSecond * 0.1 / 9);
        }
        LoadGenerator.Mix mix =
                new LoadGenerator.Mix(perSecond, 0, fleet.profile().model(), 30, TOKENS, shares);
        long millis = settings.quick() ? 7_000 : 15_000;
        long startNanos = System.nanoTime();
        OverheadExperiment.runLoad(Fleets.entryUrls(fleet), mix, recorder, settings.seed(), millis);
        return Duration.ofNanos(System.nanoTime() - startNanos).toMillis() / 1_000.0;
    }
}

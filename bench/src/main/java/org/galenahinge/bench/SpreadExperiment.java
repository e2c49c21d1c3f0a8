package org.galenahinge.bench;

import java.util.List;
import java.util.Optional;

/** Measures the time until N VMs have a model, relative to the lower bound that the links set. */
final class SpreadExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "spread",
            "a model to N VMs over links in the given proportions: all N <= 1.25 times the bound, 90 in 100 <= 1.15; "
                    + "<= 1.05 origin copies (blue-mahoe) or 4 (khukuri); <= 1.1 copies into each region; a tenth "
                    + "killed: <= 1.5 times the undisturbed time",
            300,
            49,
            SpreadExperiment::run);

    /**
     * The link rates follow from a time window: within it the origin's link carries four copies of the model, a
     * region's link three and a VM's link two.
     */
    private static final double ORIGIN_COPIES_IN_WINDOW = 4;

    private static final double VM_COPIES_IN_WINDOW = 2;
    private static final double REGION_COPIES_IN_WINDOW = 3;
    private static final double TIMEOUT_TIMES_BOUND = 5;
    private static final int BASELINE_VMS = 6;

    private SpreadExperiment() {}

    private static Result run(Experiment.Settings settings) {
        Result result = Result.of("VMs", "time over the bound");
        List<Integer> sizes = settings.vms() > 0
                ? List.of(settings.vms())
                : settings.quick() ? List.of(36) : List.of(12, 36, 90, 180, 360);
        double windowSeconds = settings.quick() ? 14 : 24;
        for (int vms : sizes) {
            measure(settings, result, plan(settings, vms, windowSeconds, 0, false), "_at_" + vms, 1);
        }
        if (!settings.quick()) {
            int vms = Math.min(90, sizes.get(sizes.size() - 1));
            Optional<SpreadRun.Measurement> undisturbed =
                    runOnce(settings, plan(settings, vms, windowSeconds, 0, false));
            Optional<SpreadRun.Measurement> killed =
                    runOnce(settings, plan(settings, vms, windowSeconds, vms / 10, false));
            double ratio = undisturbed.isPresent() && killed.isPresent()
                    ? killed.get().at(1) / undisturbed.get().at(1)
                    : Double.POSITIVE_INFINITY;
            result.figure(Figure.atMost("tenth_killed_over_undisturbed", ratio, 1.5));
            measureBaseline(settings, result, windowSeconds);
        }
        return result;
    }

    private static void measureBaseline(Experiment.Settings settings, Result result, double windowSeconds) {
        SpreadRun.Plan plan = plan(settings, BASELINE_VMS, windowSeconds, 0, true);
        runOnce(settings, plan)
                .ifPresent(baseline -> result.figure(Figure.of(
                                "baseline_each_from_origin_ratio_at_" + BASELINE_VMS,
                                baseline.at(1) / plan.boundSeconds()))
                        .figure(Figure.of(
                                "baseline_each_from_origin_copies_at_" + BASELINE_VMS, baseline.originCopies())));
    }

    private static SpreadRun.Plan plan(
            Experiment.Settings settings, int vms, double windowSeconds, int killed, boolean originOnly) {
        return new SpreadRun.Plan(
                vms,
                settings.profile().originCopies(),
                ORIGIN_COPIES_IN_WINDOW * SpreadRun.MODEL_BYTES / windowSeconds,
                VM_COPIES_IN_WINDOW * SpreadRun.MODEL_BYTES / windowSeconds,
                REGION_COPIES_IN_WINDOW * SpreadRun.MODEL_BYTES / windowSeconds,
                killed,
                originOnly);
    }

    private static void measure(
            Experiment.Settings settings, Result result, SpreadRun.Plan plan, String suffix, double share) {
        Optional<SpreadRun.Measurement> run = runOnce(settings, plan);
        double boundSeconds = plan.boundSeconds();
        result.figure(Figure.of("bound_s" + suffix, boundSeconds));
        if (run.isEmpty()) {
            result.figure(Figure.atMost("all_over_bound" + suffix, Double.POSITIVE_INFINITY, 1.25));
            return;
        }
        SpreadRun.Measurement measured = run.get();
        double copiesAllowed = settings.profile() == Profile.BLUE_MAHOE ? 1.05 : 4;
        result.point("all", plan.vms(), measured.at(share) / boundSeconds)
                .point("90 in 100", plan.vms(), measured.at(0.9) / boundSeconds)
                .figure(Figure.atMost("all_over_bound" + suffix, measured.at(share) / boundSeconds, 1.25))
                .figure(Figure.atMost("ninety_over_bound" + suffix, measured.at(0.9) / boundSeconds, 1.15))
                .figure(Figure.atMost("origin_copies" + suffix, measured.originCopies(), copiesAllowed))
                .figure(Figure.atMost("region_copies" + suffix, measured.regionCopies(), 1.1))
                .figure(Figure.of("host_cores" + suffix, measured.hostCores()))
                .figure(Figure.of("mb_per_vm" + suffix, measured.megabytesPerVm()));
    }

    private static Optional<SpreadRun.Measurement> runOnce(Experiment.Settings settings, SpreadRun.Plan plan) {
        double timeoutTimesBound = plan.originOnly() ? TIMEOUT_TIMES_BOUND * plan.vms() : TIMEOUT_TIMES_BOUND;
        try (SpreadRun run = new SpreadRun(settings, plan)) {
            return run.run(timeoutTimesBound * plan.boundSeconds());
        }
    }
}

package org.galenahinge.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenahinge.bench.LocalFleet.Vm;

/** Restarts every process one after the other under load, then kills entries and slot processes. */
final class FailoverExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "failover",
            "requests succeed again <= 2 s after an entry is killed and <= 1 s after a slot process is; a rolling "
                    + "restart of all processes cuts off no request; retries <= 10% of requests with a "
                    + "third of the replicas dead",
            80,
            49,
            FailoverExperiment::run);

    private static final long STOP_TIMEOUT_SECONDS = 20;

    private FailoverExperiment() {}

    private static Result run(Experiment.Settings settings) {
        Result result = Result.of("seconds", "requests without a whole answer");
        try (LocalFleet fleet = Fleets.startReady(settings, 3, 6, 3, "--step-micros", "8000")) {
            restartAllInTurn(settings, fleet, result);
            killOneEntryAndOneSlot(settings, fleet, result);
            killAThirdOfTheEngineSlots(settings, fleet, result);
        }
        return result;
    }

    private static void restartAllInTurn(Experiment.Settings settings, LocalFleet fleet, Result result) {
        OutcomeRecorder recorder = new OutcomeRecorder();
        List<String> badStops = new ArrayList<>();
        try (LoadGenerator load =
                LoadGenerator.start(Fleets.entryUrls(fleet), newMix(fleet), recorder, settings.seed())) {
            HttpTool.pause(1_000);
            for (Vm vm : restartedVms(settings, fleet)) {
                ManagedProcess process = fleet.process(vm);
                process.requestStop();
                if (!process.waitForExit(STOP_TIMEOUT_SECONDS) || process.exitCode() != 0) {
                    badStops.add(vm.name());
                }
                fleet.restart(vm);
                HttpTool.await(vm.url() + "/metrics", document -> true, Duration.ofSeconds(20));
                awaitReady(vm);
            }
            load.stop(Duration.ofSeconds(20));
        }
        OutcomeRecorder.Audit audit = recorder.audit(Fleets.executions(fleet));
        result.figure(Figure.of(
                        "rolling_answered", recorder.drafts(Outcome.ANSWERED) + recorder.orders(Outcome.ANSWERED)))
                .figure(Figure.atMost("rolling_cut_off", cutOff(recorder), 0))
                .figure(Figure.of(
                        "rolling_not_run", recorder.drafts(Outcome.NOT_RUN) + recorder.orders(Outcome.NOT_RUN)))
                .figure(Figure.atMost("rolling_doubled", audit.doubled(), 0))
                .figure(Figure.atMost("rolling_bad_stops", badStops.size(), 0));
        recorder.wrongResponses().forEach(System.out::println);
    }

    private static List<Vm> restartedVms(Experiment.Settings settings, LocalFleet fleet) {
        List<Vm> vms = new ArrayList<>(fleet.vms("entry"));
        vms.addAll(fleet.vms("upstream"));
        return settings.quick() ? vms.subList(1, 5) : vms;
    }

    private static void awaitReady(Vm vm) {
        long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (HttpTool.status(vm.url() + "/ready") != 200 && System.nanoTime() - deadline < 0) {
            HttpTool.pause(50);
        }
    }

    /**
     * Returns how many requests were cut off: interrupted, without a verdict or of unknown outcome. Drafts with a wrong
     * response count too.
     */
    private static long cutOff(OutcomeRecorder recorder) {
        return recorder.drafts(Outcome.INTERRUPTED)
                + recorder.drafts(Outcome.NO_VERDICT)
                + recorder.drafts(Outcome.MAY_HAVE_RUN)
                + recorder.drafts(Outcome.WRONG)
                + recorder.orders(Outcome.NO_VERDICT)
                + recorder.orders(Outcome.MAY_HAVE_RUN);
    }

    private static void killOneEntryAndOneSlot(Experiment.Settings settings, LocalFleet fleet, Result result) {
        Vm entry = fleet.vms("entry").get(0);
        result.figure(Figure.atMost("entry_death_gap_s", gapAfterKilling(settings, fleet, entry), 2));
        fleet.restart(entry);
        awaitReady(entry);
        Vm slot = fleet.models().get(0);
        result.figure(Figure.atMost("slot_death_gap_s", gapAfterKilling(settings, fleet, slot), 1));
        fleet.restart(slot);
        awaitReady(slot);
    }

    /**
     * Kills a process under load, and returns the seconds from the kill to the due time of the last request that
     * failed.
     */
    private static double gapAfterKilling(Experiment.Settings settings, LocalFleet fleet, Vm vm) {
        OutcomeRecorder recorder = new OutcomeRecorder();
        try (LoadGenerator load =
                LoadGenerator.start(Fleets.entryUrls(fleet), newMix(fleet), recorder, settings.seed() + 7)) {
            HttpTool.pause(1_500);
            long killNanos = System.nanoTime();
            fleet.process(vm).kill();
            HttpTool.pause(4_000);
            load.stop(Duration.ofSeconds(15));
            return recorder.secondsToLastFailure(killNanos);
        }
    }

    private static void killAThirdOfTheEngineSlots(Experiment.Settings settings, LocalFleet fleet, Result result) {
        OutcomeRecorder recorder = new OutcomeRecorder();
        long retriesBefore = sum(fleet, "requests.retries");
        long routedBefore = sum(fleet, "requests.routed");
        try (LoadGenerator load =
                LoadGenerator.start(Fleets.entryUrls(fleet), newMix(fleet), recorder, settings.seed() + 9)) {
            HttpTool.pause(1_000);
            fleet.process(fleet.models().get(1)).kill();
            fleet.process(fleet.models().get(2)).kill();
            HttpTool.pause(5_000);
            load.stop(Duration.ofSeconds(15));
        }
        double retries = sum(fleet, "requests.retries") - retriesBefore;
        double routed = sum(fleet, "requests.routed") - routedBefore;
        result.figure(Figure.atMost("retry_share", retries / Math.max(1, routed), 0.1))
                .figure(Figure.of("third_dead_answered", recorder.drafts(Outcome.ANSWERED)))
                .figure(Figure.of("third_dead_interrupted", recorder.drafts(Outcome.INTERRUPTED)))
                .figure(Figure.atMost("third_dead_wrong", recorder.drafts(Outcome.WRONG), 0));
    }

    private static long sum(LocalFleet fleet, String metric) {
        return fleet.vms("entry").stream()
                .mapToLong(vm -> Fleets.metric(vm, metric))
                .sum();
    }

    private static LoadGenerator.Mix newMix(LocalFleet fleet) {
        return new LoadGenerator.Mix(40, 20, fleet.profile().model(), 40, 24, List.of(3.0, 1.0, 1.0));
    }
}

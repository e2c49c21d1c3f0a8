package org.galenahinge.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.galenahinge.bench.LocalFleet.Node;

/** Kills entries and slot processes under load, then replaces every process one after the other. */
final class FailoverExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "failover",
            "served again <= 2 s after an entry's death and <= 1 s after a slot's; rolling restart of everything cuts "
                    + "off no request; retries <= 10% of requests with a third of the replicas dead",
            80,
            49,
            FailoverExperiment::run);

    private static final long STOP_LIMIT_SECONDS = 20;

    private FailoverExperiment() {}

    private static Result run(Experiment.Settings settings) {
        Result result = Result.of("seconds", "requests without a whole answer");
        try (LocalFleet fleet = Fleets.ready(settings, 3, 6, 3, "--step-micros", "8000")) {
            rollEverything(settings, fleet, result);
            killOneOfEach(settings, fleet, result);
            killAThird(settings, fleet, result);
        }
        return result;
    }

    private static void rollEverything(Experiment.Settings settings, LocalFleet fleet, Result result) {
        Ledger ledger = new Ledger();
        List<String> slow = new ArrayList<>();
        try (Load load = Load.start(Fleets.entryUrls(fleet), mix(fleet), ledger, settings.seed())) {
            HttpTool.pause(1_000);
            for (Node node : rolled(settings, fleet)) {
                ManagedProcess process = fleet.process(node);
                process.askToStop();
                if (!process.waitForEnd(STOP_LIMIT_SECONDS) || process.exitCode() != 0) {
                    slow.add(node.name());
                }
                fleet.restart(node);
                HttpTool.await(node.url() + "/metrics", document -> true, Duration.ofSeconds(20));
                awaitReady(node);
            }
            load.stop(Duration.ofSeconds(20));
        }
        Ledger.Audit audit = ledger.audit(Fleets.executions(fleet));
        result.figure(Figure.of("rolling_answered", ledger.drafts(Outcome.ANSWERED) + ledger.orders(Outcome.ANSWERED)))
                .figure(Figure.atMost("rolling_cut_off", cutOff(ledger), 0))
                .figure(Figure.of("rolling_not_run", ledger.drafts(Outcome.NOT_RUN) + ledger.orders(Outcome.NOT_RUN)))
                .figure(Figure.atMost("rolling_doubled", audit.doubled(), 0))
                .figure(Figure.atMost("rolling_bad_stops", slow.size(), 0));
        ledger.complaints().forEach(System.out::println);
    }

    private static List<Node> rolled(Experiment.Settings settings, LocalFleet fleet) {
        List<Node> nodes = new ArrayList<>(fleet.nodes("entry"));
        nodes.addAll(fleet.nodes("upstream"));
        return settings.quick() ? nodes.subList(1, 5) : nodes;
    }

    private static void awaitReady(Node node) {
        long until = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (HttpTool.status(node.url() + "/ready") != 200 && System.nanoTime() - until < 0) {
            HttpTool.pause(50);
        }
    }

    private static long cutOff(Ledger ledger) {
        return ledger.drafts(Outcome.INTERRUPTED)
                + ledger.drafts(Outcome.NO_VERDICT)
                + ledger.drafts(Outcome.MAY_HAVE_RUN)
                + ledger.drafts(Outcome.WRONG)
                + ledger.orders(Outcome.NO_VERDICT)
                + ledger.orders(Outcome.MAY_HAVE_RUN);
    }

    private static void killOneOfEach(Experiment.Settings settings, LocalFleet fleet, Result result) {
        Node entry = fleet.nodes("entry").get(0);
        result.figure(Figure.atMost("entry_death_gap_s", gapAfterKilling(settings, fleet, entry), 2));
        fleet.restart(entry);
        awaitReady(entry);
        Node slot = fleet.models().get(0);
        result.figure(Figure.atMost("slot_death_gap_s", gapAfterKilling(settings, fleet, slot), 1));
        fleet.restart(slot);
        awaitReady(slot);
    }

    /** The longest time after the kill until a request that failed is followed by none that fails. */
    private static double gapAfterKilling(Experiment.Settings settings, LocalFleet fleet, Node node) {
        Ledger ledger = new Ledger();
        try (Load load = Load.start(Fleets.entryUrls(fleet), mix(fleet), ledger, settings.seed() + 7)) {
            HttpTool.pause(1_500);
            long killed = System.nanoTime();
            fleet.process(node).kill();
            HttpTool.pause(4_000);
            load.stop(Duration.ofSeconds(15));
            return ledger.lastFailureAfter(killed);
        }
    }

    private static void killAThird(Experiment.Settings settings, LocalFleet fleet, Result result) {
        Ledger ledger = new Ledger();
        long retriesBefore = sum(fleet, "requests.retries");
        long routedBefore = sum(fleet, "requests.routed");
        try (Load load = Load.start(Fleets.entryUrls(fleet), mix(fleet), ledger, settings.seed() + 9)) {
            HttpTool.pause(1_000);
            fleet.process(fleet.models().get(1)).kill();
            fleet.process(fleet.models().get(2)).kill();
            HttpTool.pause(5_000);
            load.stop(Duration.ofSeconds(15));
        }
        double retries = sum(fleet, "requests.retries") - retriesBefore;
        double routed = sum(fleet, "requests.routed") - routedBefore;
        result.figure(Figure.atMost("retry_share", retries / Math.max(1, routed), 0.1))
                .figure(Figure.of("third_dead_answered", ledger.drafts(Outcome.ANSWERED)))
                .figure(Figure.of("third_dead_interrupted", ledger.drafts(Outcome.INTERRUPTED)))
                .figure(Figure.atMost("third_dead_wrong", ledger.drafts(Outcome.WRONG), 0));
    }

    private static long sum(LocalFleet fleet, String metric) {
        return fleet.nodes("entry").stream()
                .mapToLong(node -> Fleets.metric(node, metric))
                .sum();
    }

    private static Load.Mix mix(LocalFleet fleet) {
        return new Load.Mix(40, 20, fleet.profile().model(), 40, 24, List.of(3.0, 1.0, 1.0));
    }
}

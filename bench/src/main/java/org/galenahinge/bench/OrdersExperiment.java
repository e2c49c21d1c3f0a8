package org.galenahinge.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.galenahinge.bench.LocalFleet.Vm;

/** Places orders that may not be repeated while entries, slot processes and upstreams are killed and frozen. */
final class OrdersExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "orders",
            ">= 100,000 orders over >= 200 kills of entries, slots and upstreams: none doubled, no false 'not run', "
                    + "<= 0.1% called 'may have run' that never ran",
            330,
            48,
            OrdersExperiment::run);

    private static final double ORDERS_PER_SECOND = 350;
    private static final long ANSWER_SECONDS = 40;

    private final Experiment.Settings settings;
    private final LocalFleet fleet;
    private final Random random;
    private final Map<String, Long> executions = new HashMap<>();
    private final List<OutcomeRecorder.Kill> deaths = new ArrayList<>();
    private int kills;
    private int freezes;

    private OrdersExperiment(Experiment.Settings settings, LocalFleet fleet) {
        this.settings = settings;
        this.fleet = fleet;
        this.random = new Random(settings.seed());
    }

    private static Result run(Experiment.Settings settings) {
        try (LocalFleet fleet = Fleets.startReady(settings, 4, 0, 6)) {
            return new OrdersExperiment(settings, fleet).run();
        }
    }

    private Result run() {
        Result result = Result.of("seconds", "orders answered");
        OutcomeRecorder recorder = new OutcomeRecorder();
        LoadGenerator.Mix mix = new LoadGenerator.Mix(0, ORDERS_PER_SECOND, "", 0, 0, List.of(5.0, 1.0, 1.0));
        long begin = System.nanoTime();
        long sent;
        long unanswered;
        try (LoadGenerator load = LoadGenerator.start(Fleets.entryUrls(fleet), mix, recorder, settings.seed())) {
            HttpTool.pause(2_000);
            int wanted = settings.quick() ? 14 : 205;
            while (kills < wanted || (!settings.quick() && load.sent() < 100_500)) {
                breakOne();
                result.point("answered", (System.nanoTime() - begin) / 1e9, recorder.orders(Outcome.ANSWERED));
            }
            unanswered = load.stop(Duration.ofSeconds(ANSWER_SECONDS));
            sent = load.sent();
        }
        collectExecutions();
        return report(result, recorder, sent, unanswered);
    }

    /** Kills or freezes one process, waits a moment, and brings it back. */
    private void breakOne() {
        int kind = random.nextInt(10);
        if (kind < 3) {
            killAndRestart(pick(fleet.vms("entry")));
        } else if (kind < 7) {
            killAndRestart(pick(fleet.orders()));
        } else if (kind < 9) {
            killUpstream(pick(fleet.orders()));
        } else {
            freeze(random.nextBoolean() ? pick(fleet.orders()) : pick(fleet.vms("entry")));
        }
        HttpTool.pause(300 + random.nextInt(500));
    }

    private void killAndRestart(Vm vm) {
        fleet.process(vm).kill();
        killed(vm);
        HttpTool.pause(100 + random.nextInt(300));
        fleet.restart(vm);
    }

    /** What the upstream executed is read before it is killed; calls after the reading are found in its log. */
    private void killUpstream(Vm vm) {
        fleet.upstream(vm).freeze();
        fleet.upstream(vm).kill();
        addLogged(vm);
        killed(vm);
        HttpTool.pause(100 + random.nextInt(300));
        fleet.startUpstream(vm);
    }

    private void killed(Vm vm) {
        kills++;
        deaths.add(new OutcomeRecorder.Kill(vm.name(), System.nanoTime()));
    }

    private void freeze(Vm vm) {
        ManagedProcess process = fleet.process(vm);
        process.freeze();
        HttpTool.pause(2_500);
        process.unfreeze();
        freezes++;
    }

    private void addLogged(Vm vm) {
        fleet.upstream(vm).logLinesContaining("EXECUTED ", Integer.MAX_VALUE).forEach(line -> {
            String order = line.substring(line.indexOf("EXECUTED ") + "EXECUTED ".length())
                    .strip();
            executions.merge(order, 1L, Long::sum);
        });
        fleet.upstream(vm).clearLog();
    }

    private void collectExecutions() {
        fleet.orders().forEach(this::addLogged);
    }

    private Result report(Result result, OutcomeRecorder recorder, long sent, long unanswered) {
        OutcomeRecorder.Audit audit = recorder.audit(executions, deaths);
        double inVainShare = audit.falseMayHaveRun() / (double) sent;
        return result.figure(Figure.atLeast("orders", sent, settings.quick() ? 1_000 : 100_000))
                .figure(Figure.atLeast("kills", kills, settings.quick() ? 10 : 200))
                .figure(Figure.of("freezes", freezes))
                .figure(Figure.of("answered", recorder.orders(Outcome.ANSWERED)))
                .figure(Figure.of("not_run", recorder.orders(Outcome.NOT_RUN)))
                .figure(Figure.of("may_have_run", recorder.orders(Outcome.MAY_HAVE_RUN)))
                .figure(Figure.of("caller_repeats", recorder.callerRetries()))
                .figure(Figure.of("order_p50_ms", recorder.orderMillis(50)))
                .figure(Figure.of("order_p99_ms", recorder.orderMillis(99)))
                .figure(Figure.atMost("unanswered", unanswered, 0))
                .figure(Figure.atMost("doubled", audit.doubled(), 0))
                .figure(Figure.atMost("false_not_run", audit.falseNotRun(), 0))
                .figure(Figure.atMost("false_answered", audit.falseAnswered(), 0))
                .figure(Figure.of("in_vain_in_flight_at_kill", audit.falseMayHaveRunInFlight()))
                .figure(Figure.atMost("in_vain_share", inVainShare, 0.001));
    }

    private <T> T pick(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}

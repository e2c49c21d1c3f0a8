package org.galenahinge.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.galenahinge.bench.LocalFleet.Vm;

/** Sends non-idempotent orders while entries, slot processes and upstreams are killed and suspended. */
final class OrdersExperiment {
    static final Experiment EXPERIMENT = new Experiment(
            "orders",
            ">= 100,000 orders over >= 200 kills of entries, slots and upstreams: none executed twice, "
                    + "no false 'not run', <= 0.1% with verdict 'may have run' that never ran",
            330,
            48,
            OrdersExperiment::run);

    private static final double ORDERS_PER_SECOND = 350;
    private static final long RESPONSE_TIMEOUT_SECONDS = 40;

    private final Experiment.Settings settings;
    private final LocalFleet fleet;
    private final Random random;
    private final Map<String, Long> executions = new HashMap<>();
    private final List<OutcomeRecorder.Kill> killedProcesses = new ArrayList<>();
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
        long startNanos = System.nanoTime();
        long sent;
        long unanswered;
        try (LoadGenerator load = LoadGenerator.start(Fleets.entryUrls(fleet), mix, recorder, settings.seed())) {
            HttpTool.pause(2_000);
            int requiredKills = settings.quick() ? 14 : 205;
            while (kills < requiredKills || (!settings.quick() && load.sent() < 100_500)) {
                disturbOneProcess();
                result.point("answered", (System.nanoTime() - startNanos) / 1e9, recorder.orders(Outcome.ANSWERED));
            }
            unanswered = load.stop(Duration.ofSeconds(RESPONSE_TIMEOUT_SECONDS));
            sent = load.sent();
        }
        collectExecutions();
        return report(result, recorder, sent, unanswered);
    }

    /** Kills and restarts, or suspends and resumes, one process; then waits 300 to 800 ms. */
    private void disturbOneProcess() {
        int kind = random.nextInt(10);
        if (kind < 3) {
            killAndRestart(pickRandom(fleet.vms("entry")));
        } else if (kind < 7) {
            killAndRestart(pickRandom(fleet.orders()));
        } else if (kind < 9) {
            killUpstream(pickRandom(fleet.orders()));
        } else {
            freezeAndResume(random.nextBoolean() ? pickRandom(fleet.orders()) : pickRandom(fleet.vms("entry")));
        }
        HttpTool.pause(300 + random.nextInt(500));
    }

    private void killAndRestart(Vm vm) {
        fleet.process(vm).kill();
        recordKill(vm);
        HttpTool.pause(100 + random.nextInt(300));
        fleet.restart(vm);
    }

    /** Kills an upstream, reads from its log which orders it executed, and starts it again. It is suspended first. */
    private void killUpstream(Vm vm) {
        fleet.upstream(vm).freeze();
        fleet.upstream(vm).kill();
        addLoggedExecutions(vm);
        recordKill(vm);
        HttpTool.pause(100 + random.nextInt(300));
        fleet.startUpstream(vm);
    }

    private void recordKill(Vm vm) {
        kills++;
        killedProcesses.add(new OutcomeRecorder.Kill(vm.name(), System.nanoTime()));
    }

    private void freezeAndResume(Vm vm) {
        ManagedProcess process = fleet.process(vm);
        process.freeze();
        HttpTool.pause(2_500);
        process.unfreeze();
        freezes++;
    }

    private void addLoggedExecutions(Vm vm) {
        fleet.upstream(vm).logLinesContaining("EXECUTED ", Integer.MAX_VALUE).forEach(line -> {
            String order = line.substring(line.indexOf("EXECUTED ") + "EXECUTED ".length())
                    .strip();
            executions.merge(order, 1L, Long::sum);
        });
        fleet.upstream(vm).clearLog();
    }

    private void collectExecutions() {
        fleet.orders().forEach(this::addLoggedExecutions);
    }

    private Result report(Result result, OutcomeRecorder recorder, long sent, long unanswered) {
        OutcomeRecorder.Audit audit = recorder.audit(executions, killedProcesses);
        double falseMayHaveRunShare = audit.falseMayHaveRun() / (double) sent;
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
                .figure(Figure.atMost("in_vain_share", falseMayHaveRunShare, 0.001));
    }

    private <T> T pickRandom(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }
}

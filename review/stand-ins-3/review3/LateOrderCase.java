package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/** A slow model server accepts an order late, while the operator declares the next version. */
final class LateOrderCase {
    private static final long ORDER_MILLIS = 1_200;
    private static final long LOAD_SECONDS = 25;
    private static final long SETTLING_MILLIS = 3_000;
    private static final int ENGINES = 3;
    private static final int CONSUMERS = 44;

    private LateOrderCase() {}

    public static void main(String[] arguments) {
        CaseRun.main(arguments, LateOrderCase::perform);
    }

    private static boolean perform(CaseRun run) throws Exception {
        int port = Machine.freePorts("127.0.0.2", "127.0.0.3", engineHost(1), engineHost(2), engineHost(3));
        Machine entry = new Machine("edge-bagmati-a-1", "127.0.0.2", "bagmati-a", port);
        Store store = run.closing(new Store("127.0.0.3", port));
        Origin origin = run.closing(new Origin("127.0.0.3", port + 1, run.recordFile()));
        String tenants = "[" + Deployment.tenant("bozi300", Requests.KEY) + "]";
        store.put("op/config", Deployment.config(7, tenants, origin.address()));
        Deployment deployment = new Deployment(store, List.of(entry));
        run.startEntry(deployment, entry);
        List<EngineServer> engines = startEngines(run, store, deployment, port);
        run.awaitReady(entry);
        Thread.sleep(SETTLING_MILLIS);
        Requests.requireServed(Requests.draft(entry, "before"));
        delayFirstOrder(run, store, engines);
        store.declareVersion(run, 2);
        streamUntilLoaded(run, entry, engines);
        if (engines.stream().anyMatch(engine -> engine.version() < 3)) {
            throw new IllegalStateException("the servers have not loaded version 3 after " + LOAD_SECONDS + " s");
        }
        boolean held = engines.stream().allMatch(engine -> engine.brokenTokens().isEmpty());
        run.record("WHOLE " + (held ? "held" : "broken"));
        return held;
    }

    private static List<EngineServer> startEngines(CaseRun run, Store store, Deployment deployment, int port)
            throws IOException {
        List<EngineServer> engines = new ArrayList<>();
        for (int number = 1; number <= ENGINES; number++) {
            Machine side = new Machine("side-bagmati-a-" + number, engineHost(number), "bagmati-a", port);
            String id = "i-7f3a91c" + number;
            EngineServer engine =
                    run.closing(new EngineServer(id, side.host(), side.consumerPort(), run.recordFile()));
            store.put("servers/" + id, engine.entry());
            run.startSlot(deployment, side, engine.address());
            engines.add(engine);
        }
        return engines;
    }

    private static String engineHost(int number) {
        return "127.0.0." + (10 + number);
    }

    /** With the disruption, the first order takes long; either way, the operator declares version 3 when it arrives. */
    private static void delayFirstOrder(CaseRun run, Store store, List<EngineServer> engines) {
        AtomicBoolean first = new AtomicBoolean(true);
        engines.forEach(engine -> engine.setOrderDelay(version -> {
            if (!first.getAndSet(false)) {
                return 0;
            }
            store.declareVersion(run, 3);
            return run.hasTrouble() ? ORDER_MILLIS : 0;
        }));
    }

    private static void streamUntilLoaded(CaseRun run, Machine entry, List<EngineServer> engines) throws Exception {
        long endNanos = System.nanoTime() + LOAD_SECONDS * 1_000_000_000L;
        BooleanSupplier goesOn = () ->
                engines.stream().anyMatch(engine -> engine.version() < 3) && System.nanoTime() - endNanos < 0;
        List<Thread> consumers = new ArrayList<>();
        for (int number = 1; number <= CONSUMERS; number++) {
            String name = "draft-" + number + "-";
            Thread consumer = new Thread(() -> streamWhile(run, entry, name, goesOn));
            consumer.setDaemon(true);
            consumer.start();
            consumers.add(consumer);
        }
        for (Thread consumer : consumers) {
            consumer.join();
        }
        run.record("the servers have versions "
                + engines.stream().map(EngineServer::version).toList());
    }

    private static void streamWhile(CaseRun run, Machine entry, String name, BooleanSupplier goesOn) {
        for (int number = 1; goesOn.getAsBoolean(); number++) {
            String id = name + number;
            try {
                run.record("consumer sent " + id + ": " + Requests.draft(entry, id));
            } catch (IOException e) {
                run.record("consumer cannot send " + id + ": " + e.getMessage());
            }
        }
    }
}

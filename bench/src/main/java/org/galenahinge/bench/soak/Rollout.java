package org.galenahinge.bench.soak;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.galenahinge.standins.platform.EntryFleetStandIn;
import org.galenahinge.standins.platform.RecordingEngine;

/** Names versions of the weights one after the other, which each engine loads a drawn time later. */
final class Rollout implements AutoCloseable {
    private static final int FIRST_LOAD_MILLIS = 300;
    private static final int LAST_LOAD_MILLIS = 3_600;
    private static final int SHORTEST_LOAD_MILLIS = 200;
    private static final int LONGEST_LOAD_MILLIS = 600;
    private static final int STORE_RETRY_MILLIS = 20;

    private final EntryFleetStandIn fleet;
    private final long seed;
    private final Timeline timeline;
    private final List<Naming> namings = new CopyOnWriteArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final EngineReports reports;
    private long version = 1;

    Rollout(EntryFleetStandIn fleet, int entries, long seed, Timeline timeline) throws IOException {
        this.fleet = fleet;
        this.seed = seed;
        this.timeline = timeline;
        this.reports = new EngineReports(
                fleet.engines(),
                IntStream.range(0, entries).mapToObj(fleet::loadAddress).toList());
        if (!fleet.engines().isEmpty()) {
            threads.execute(() -> runUntilInterrupted(reports::sendAll));
        }
    }

    /** Work that may be interrupted. */
    @FunctionalInterface
    private interface Work {
        void run() throws InterruptedException;
    }

    private static void runUntilInterrupted(Work work) {
        try {
            work.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Names the next version as soon as the store takes it. */
    synchronized void nameNext() throws InterruptedException {
        version++;
        while (!fleet.nameVersion(version)) {
            TimeUnit.MILLISECONDS.sleep(STORE_RETRY_MILLIS);
        }
        namings.add(new Naming(version, System.nanoTime()));
        timeline.print("version " + version + " is named");
        for (int engine = 0; engine < fleet.engines().size(); engine++) {
            drawLoad(engine, version);
        }
    }

    private void drawLoad(int number, long named) {
        Random random = new Random(seed * 1_000_003 + named * 1_009 + number);
        int afterMillis = between(random, FIRST_LOAD_MILLIS, LAST_LOAD_MILLIS);
        int lastsMillis = between(random, SHORTEST_LOAD_MILLIS, LONGEST_LOAD_MILLIS);
        RecordingEngine engine = fleet.engines().get(number);
        threads.execute(() -> runUntilInterrupted(() -> {
            TimeUnit.MILLISECONDS.sleep(afterMillis);
            engine.load(named, lastsMillis);
        }));
    }

    private static int between(Random random, int least, int most) {
        return least + random.nextInt(most - least + 1);
    }

    /** Suspends the VM of an engine for a time, and returns after it. */
    void suspend(int number, long millis) throws InterruptedException {
        RecordingEngine engine = fleet.engines().get(number);
        timeline.print("the VM of " + engine.id() + " is suspended for " + millis + " ms");
        engine.suspend(millis);
    }

    /** Makes an engine queue its requests for a time, and returns after it. */
    void queue(int number, long millis) throws InterruptedException {
        RecordingEngine engine = fleet.engines().get(number);
        timeline.print(engine.id() + " queues requests for " + millis + " ms");
        engine.setQueueTime((int) millis);
        TimeUnit.MILLISECONDS.sleep(millis);
        engine.setQueueTime(0);
    }

    /** Returns the versions that the store has acknowledged, oldest first. */
    List<Naming> namings() {
        return List.copyOf(namings);
    }

    @Override
    public void close() {
        threads.shutdownNow();
        reports.close();
    }
}

package org.galenahinge.bench.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.galenahinge.standins.platform.EntryFleetStandIn;
import org.galenahinge.standins.platform.UpstreamRun;

/**
 * A run with one seed: episodes, in each of which callers send requests, entries are stopped among other faults and start
 * again, and everything that was sent is judged.
 */
final class SoakRun implements AutoCloseable {
    private static final int UPSTREAMS = 4;
    private static final int ENGINES = 4;
    private static final int FAULT_THREADS = 16;
    private static final long AFTER_LAST_FAULT_MILLIS = 300;

    /** The time after an entry is ready in which the signals at its start have come. */
    private static final long AFTER_START_MILLIS = 2_000;

    private static final long LONGEST_REQUEST_SECONDS = 8;
    private static final int PRINTED_VIOLATIONS = 5;
    private static final int PRINTED_LOG_LINES = 6;

    private final Settings settings;
    private final Timeline timeline;
    private final Consumer<String> output;
    private final Random random;
    private final Verdict verdict = new Verdict(Bounds.ofFleet());
    private final Tally tally = new Tally();
    private final Map<String, List<UpstreamRun>> runs = new ConcurrentHashMap<>();
    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private final List<Long> configs = new CopyOnWriteArrayList<>();
    private final List<Span> storeAway = new CopyOnWriteArrayList<>();
    private final EntryFleetStandIn fleet;
    private final Rollout rollout;
    private final List<EntryUnderTest> entries = new ArrayList<>();
    private final List<Thread> watchers = new ArrayList<>();
    private final ScheduledExecutorService faultThreads = Executors.newScheduledThreadPool(FAULT_THREADS);
    private final WorkSource source;
    private volatile boolean callersEnd;
    private long besideConfigNanos;
    private long episodeNanos;
    private final Tally printed = new Tally();

    /**
     * What a run does.
     *
     * @param seed the seed of every choice
     * @param scenario which faults it draws
     * @param entries the number of entries
     * @param callers the number of callers
     * @param duration the time after which it begins no further episode
     * @param command the program of an entry and its arguments
     * @param logs the folder for the logs of the entries
     */
    record Settings(
            long seed,
            Scenario scenario,
            int entries,
            int callers,
            Duration duration,
            List<String> command,
            Path logs) {
        Settings {
            command = List.copyOf(command);
        }
    }

    SoakRun(Settings settings, Consumer<String> output) throws IOException {
        this.settings = settings;
        this.output = output;
        this.timeline = new Timeline(output);
        this.random = new Random(settings.seed());
        boolean usesEngines = settings.scenario().usesEngines();
        this.source = new WorkSource("s" + settings.seed() + "-", usesEngines);
        this.fleet = new EntryFleetStandIn(UPSTREAMS, usesEngines ? ENGINES : 0, this::recordRun);
        this.rollout = new Rollout(fleet, settings.entries(), settings.seed(), timeline);
        configs.add(System.nanoTime());
        for (int number = 0; number < settings.entries(); number++) {
            EntryUnderTest entry = new EntryUnderTest(number, settings.logs(), fleet, settings.command(), timeline);
            entries.add(entry);
            watchers.add(startThread(entry.name(), entry::watch));
        }
    }

    private void recordRun(String requestId, UpstreamRun run) {
        runs.computeIfAbsent(requestId, id -> new CopyOnWriteArrayList<>()).add(run);
    }

    /** Work that may be interrupted. */
    @FunctionalInterface
    private interface Work {
        void run() throws InterruptedException;
    }

    private static Thread startThread(String name, Work work) {
        Thread thread = new Thread(() -> runUntilInterrupted(work), name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void runUntilInterrupted(Work work) {
        try {
            work.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Runs all episodes.
     *
     * @return whether every promise was kept
     * @throws InterruptedException if this thread is interrupted
     */
    boolean run() throws InterruptedException {
        long endNanos = System.nanoTime() + settings.duration().toNanos();
        int episode = 1;
        do {
            timeline.print("episode " + episode + " of seed " + settings.seed());
            runEpisode(FaultPlan.draw(random, settings.scenario(), entries.size(), ENGINES), episode);
            episode++;
        } while (System.nanoTime() < endNanos);
        List<String> byNumber = tally.violationsByNumber((double) besideConfigNanos / episodeNanos);
        byNumber.forEach(output);
        output.accept("seed " + settings.seed() + ": " + tally);
        return byNumber.isEmpty() && !tally.hasViolation();
    }

    private void runEpisode(List<Fault> faults, int episode) throws InterruptedException {
        awaitReady();
        long beginNanos = System.nanoTime();
        List<Thread> callers = startCallers(episode);
        faults.forEach(this::schedule);
        awaitFaults(faults);
        endCallers(callers);
        judgeAll(beginNanos);
    }

    private void awaitFaults(List<Fault> faults) throws InterruptedException {
        long lastMillis = faults.stream()
                .filter(fault -> !fault.isAtStart())
                .mapToLong(fault -> fault.atMillis() + fault.lastsMillis())
                .max()
                .orElse(0);
        TimeUnit.MILLISECONDS.sleep(lastMillis + AFTER_LAST_FAULT_MILLIS);
        awaitReady();
        if (faults.stream().anyMatch(Fault::isAtStart)) {
            TimeUnit.MILLISECONDS.sleep(AFTER_START_MILLIS);
            awaitReady();
        }
    }

    private void awaitReady() throws InterruptedException {
        for (EntryUnderTest entry : entries) {
            entry.awaitReady();
        }
    }

    private List<Thread> startCallers(int episode) {
        callersEnd = false;
        var addresses = IntStream.range(0, entries.size())
                .mapToObj(fleet::callerAddress)
                .toList();
        return IntStream.range(0, settings.callers())
                .mapToObj(number -> {
                    Random choices = new Random(settings.seed() * 1_000_003 + episode * 1_009L + number);
                    Caller caller = new Caller(addresses, choices, source, attempts::add, () -> callersEnd);
                    return startThread("caller " + number, caller::run);
                })
                .toList();
    }

    private void endCallers(List<Thread> callers) throws InterruptedException {
        callersEnd = true;
        for (Thread caller : callers) {
            caller.join();
        }
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_REQUEST_SECONDS);
        while (fleet.working() > 0 && System.nanoTime() < untilNanos) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    private void schedule(Fault fault) {
        if (fault.isAtStart()) {
            entries.get(fault.entry()).addAtStart(fault);
            return;
        }
        faultThreads.schedule(() -> runUntilInterrupted(() -> apply(fault)), fault.atMillis(), TimeUnit.MILLISECONDS);
    }

    private void apply(Fault fault) throws InterruptedException {
        switch (fault.kind()) {
            case CONFIG -> {
                timeline.print("a new config");
                configs.add(System.nanoTime());
                fleet.publishNextConfig();
            }
            case STORE_AWAY -> takeStoreAway(fault.lastsMillis());
            case NAME_VERSION -> rollout.nameNext();
            case SUSPEND_ENGINE -> rollout.suspend(fault.entry(), fault.lastsMillis());
            case QUEUE_ENGINE -> rollout.queue(fault.entry(), fault.lastsMillis());
            case FREEZE -> entries.get(fault.entry()).freeze(fault.lastsMillis());
            default -> entries.get(fault.entry()).apply(fault.kind());
        }
    }

    private void takeStoreAway(long millis) throws InterruptedException {
        timeline.print("the store is away for " + millis + " ms");
        long fromNanos = System.nanoTime();
        fleet.setStoreAway(true);
        TimeUnit.MILLISECONDS.sleep(millis);
        fleet.setStoreAway(false);
        storeAway.add(new Span(fromNanos, System.nanoTime()));
    }

    private void judgeAll(long beginNanos) {
        long nowNanos = System.nanoTime();
        Bounds bounds = Bounds.ofFleet();
        episodeNanos += nowNanos - beginNanos;
        besideConfigNanos += configs.stream()
                .map(bounds::configSpan)
                .filter(span -> span.overlaps(beginNanos, nowNanos))
                .mapToLong(span -> span.toNanos() - Math.max(beginNanos, span.fromNanos()))
                .sum();
        List<PlannedWork> works =
                entries.stream().map(entry -> entry.work(configs, storeAway)).toList();
        for (Attempt attempt = attempts.poll(); attempt != null; attempt = attempts.poll()) {
            judge(attempt, works.get(attempt.entry()));
        }
        entries.forEach(this::judgeProcesses);
        forget(nowNanos);
    }

    private void judge(Attempt attempt, PlannedWork work) {
        List<UpstreamRun> seen = runs.getOrDefault(attempt.order().id(), List.of());
        List<UpstreamRun> before =
                attempt.behind().map(id -> runs.getOrDefault(id, List.of())).orElse(List.of());
        List<Verdict.Judgement> judgements = new ArrayList<>(verdict.judge(attempt, seen, before, work));
        judgements.addAll(verdict.judgeVersions(seen, rollout.namings(), work));
        for (Verdict.Judgement judgement : judgements) {
            tally.add(judgement.finding(), attempt.entry());
            if (judgement.finding().isViolation() || judgement.finding().countsByNumber()) {
                printViolation(judgement, attempt, seen, work);
            }
        }
    }

    private void printViolation(
            Verdict.Judgement judgement, Attempt attempt, List<UpstreamRun> seen, PlannedWork work) {
        printed.add(judgement.finding(), attempt.entry());
        if (printed.count(judgement.finding()) > PRINTED_VIOLATIONS) {
            return;
        }
        output.accept(judgement.finding() + " " + attempt.order().id() + " " + judgement.detail() + ": "
                + attempt.order() + ", edge-" + attempt.entry() + ", sent " + timeline.at(attempt.sentNanos())
                + ", end " + timeline.at(attempt.endNanos()) + ", " + attempt.ending() + " status "
                + attempt.status()
                + attempt.behind().map(id -> ", behind " + id).orElse(""));
        seen.forEach(run -> output.accept("    " + run.upstream() + " from " + timeline.at(run.arrivalNanos()) + " to "
                + timeline.at(run.endNanos()) + (run.executed() ? ", ran" : ", rejected")
                + run.begin()
                        .map(begin -> ", begun " + timeline.at(begin.nanos()) + " on version " + begin.version())
                        .orElse("")));
        work.stops().forEach(stop -> output.accept("    SIGTERM " + timeline.at(stop)));
        entries.get(attempt.entry())
                .logLinesContaining('"' + attempt.order().id() + '"', PRINTED_LOG_LINES)
                .forEach(line -> output.accept("    log: " + line));
    }

    private void judgeProcesses(EntryUnderTest entry) {
        for (Verdict.Judgement wrong : entry.takeWrongs()) {
            tally.add(wrong.finding(), 0);
            output.accept(wrong.finding() + " " + wrong.detail());
        }
    }

    private void forget(long nowNanos) {
        long beforeNanos = nowNanos - TimeUnit.SECONDS.toNanos(2 * EntryFleetStandIn.GRACE_SECONDS);
        runs.clear();
        entries.forEach(entry -> entry.forgetBefore(beforeNanos));
        configs.removeIf(at -> at < beforeNanos);
        storeAway.removeIf(span -> span.toNanos() < beforeNanos);
    }

    @Override
    public void close() {
        callersEnd = true;
        watchers.forEach(Thread::interrupt);
        faultThreads.shutdownNow();
        rollout.close();
        entries.forEach(EntryUnderTest::kill);
        fleet.close();
    }
}

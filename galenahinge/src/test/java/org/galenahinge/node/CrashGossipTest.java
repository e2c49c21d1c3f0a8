package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.quarantine.Crash;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.galenahinge.quarantine.RequestTrait;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Entries that learn from each other which part of a prompt, or which request, crashes engines: a fleet under load. */
class CrashGossipTest {
    private static final EventLog LOG = EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry());
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration RESTART_TIME = Duration.ofSeconds(3);
    private static final Duration TIME_BETWEEN_ENDS = Duration.ofSeconds(8);
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(12);
    private static final RequestTrait CRASHING = RequestTrait.ofPart(0xBAD);
    private static final RequestTrait SHARED = RequestTrait.ofPart(0x5C1E);
    private static final RequestTrait CRASHING_REQUEST = RequestTrait.ofRequest(-1);
    private static final int CRASHES_OF_PART_UNTIL_KNOWN = 5;
    private static final int CRASHES_OF_REQUEST_UNTIL_KNOWN = 3;
    private static final int COMMON_PARTS = 180;
    private static final int MAXIMUM_REQUESTS_ONCE_KNOWN = 3;

    private final ManualTimers timers = new ManualTimers();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private Random random = new Random(1);
    private double engineEndsPerSecond;
    private long requests;
    private long identities;
    private int crashes;
    private Set<RequestTrait> shared = Set.of();
    private int crashesUntilKnown = CRASHES_OF_PART_UNTIL_KNOWN;
    private boolean crashesAfterEvent;
    private long knownCrashNanos;
    private int reachedOnceKnown;
    private int sound;
    private int soundRejected;
    private int soundOnceSettled;
    private int soundRejectedOnceSettled;

    /**
     * Guards against prompts that crash engine after engine: whoever sees a few of the crashes only must learn of the
     * others. Entries start, restart and are cut off meanwhile; datagrams are lost.
     */
    @ParameterizedTest
    @CsvSource({
        // entries, engines, requests per second, of which crash engines, after event, other ends per second, seed
        "7, 10, 120, 2.5, false, 0, 1",
        "8, 10, 80, 2.5, false, 0, 2",
        "8, 10, 80, 0.4, false, 0.2, 3",
        "20, 13, 150, 4, false, 0.1, 4",
        "49, 97, 600, 6, false, 0.5, 5",
        "49, 97, 600, 1, false, 1, 6",
        "150, 300, 600, 8, false, 0, 7",
        "7, 10, 120, 2.5, true, 0, 8",
        "8, 10, 80, 0.4, true, 0.2, 9",
        "49, 97, 600, 6, true, 0.5, 10",
    })
    void findsThePartThatCrashesEngines(
            int entryCount,
            int engineCount,
            double perSecond,
            double crashingPerSecond,
            boolean afterEvent,
            double endsPerSecond,
            long seed) {
        start(entryCount, engineCount, seed);
        crashesAfterEvent = afterEvent;
        engineEndsPerSecond = endsPerSecond;
        runDisturbed(perSecond, crashingPerSecond, Set.of(CRASHING));
        assertCauseIsFound();
    }

    /**
     * Guards against one request that crashes upstream after upstream as its caller sends it again, also where the crash
     * comes after the first event. Its part of the prompt is shared with sound requests.
     */
    @ParameterizedTest
    @CsvSource({
        // entries, engines, requests per second, repetitions per second, crash after event, other ends per second, seed
        "7, 10, 120, 2.5, false, 0, 1",
        "8, 10, 80, 2.5, true, 0, 2",
        "8, 3, 20, 1, false, 0.1, 3",
        "8, 10, 80, 0.4, true, 0.2, 4",
        "20, 13, 150, 4, false, 0.1, 5",
        "49, 97, 600, 6, true, 0.5, 6",
        "150, 300, 600, 8, false, 0, 7",
    })
    void findsTheRequestThatCrashesEngines(
            int entryCount,
            int engineCount,
            double perSecond,
            double crashingPerSecond,
            boolean afterEvent,
            double endsPerSecond,
            long seed) {
        start(entryCount, engineCount, seed);
        crashesUntilKnown = CRASHES_OF_REQUEST_UNTIL_KNOWN;
        crashesAfterEvent = afterEvent;
        engineEndsPerSecond = endsPerSecond;
        Set<RequestTrait> crashing = Set.of(commonPart(), CRASHING_REQUEST);
        runDisturbed(perSecond, crashingPerSecond, crashing);
        assertCauseIsFound();
    }

    /** Engines that end for other reasons, many at once, put no part into quarantine for long. */
    @ParameterizedTest
    @CsvSource({"8, 10, 80, 1", "20, 28, 200, 2", "49, 97, 600, 3", "49, 97, 600, 4"})
    void rejectsNothingWhenEnginesEndForOtherReasons(int entryCount, int engineCount, double perSecond, long seed) {
        start(entryCount, engineCount, seed);
        run(Duration.ofSeconds(5), perSecond, 0, Set.of());
        for (int failure = 0; failure < 4; failure++) {
            engines.subList(0, Math.max(2, engineCount / 4)).forEach(engine -> engine.end(0));
            run(Duration.ofSeconds(8), perSecond, 0, Set.of());
        }
        assertThat((double) soundRejected / sound).isLessThan(0.001);
    }

    /**
     * Guards against a part that all requests share, and that stays in quarantine after all engines have ended at once, while
     * a part that does crash engines reaches no more of them than it may.
     */
    @ParameterizedTest
    @CsvSource({
        // entries, engines, requests per second, milliseconds before the end, ends in a row, crashing per second, seed
        "3, 8, 40, 8000, 1, 0, 1",
        "3, 8, 200, 150, 1, 0, 2",
        "8, 10, 80, 5000, 3, 0, 3",
        "8, 10, 400, 150, 3, 0, 4",
        "49, 97, 600, 5000, 2, 0, 5",
        "49, 20, 900, 150, 1, 0, 6",
        "8, 10, 80, 5000, 1, 0.8, 7",
        "8, 10, 400, 150, 1, 0.8, 8",
        "20, 28, 200, 5000, 3, 2, 9",
        // Parts that several of the engines had, but few requests have, were in quarantine for long here.
        "8, 10, 80, 5000, 3, 0, 115",
        "8, 10, 80, 5000, 1, 0.8, 245",
        "8, 10, 400, 150, 1, 0.8, 119",
        "20, 28, 200, 5000, 3, 2, 34",
    })
    void servesAPartOfAllRequestsAfterAllEnginesHaveEnded(
            int entryCount,
            int engineCount,
            double perSecond,
            long millisBefore,
            int ends,
            double crashingPerSecond,
            long seed) {
        start(entryCount, engineCount, seed);
        shared = Set.of(SHARED);
        Set<RequestTrait> crashing = Set.of(SHARED, CRASHING);
        run(Duration.ofMillis(millisBefore), perSecond, 0, Set.of());
        for (int end = 0; end < ends; end++) {
            engines.forEach(engine -> engine.end(0));
            run(TIME_BETWEEN_ENDS, perSecond, crashingPerSecond, crashing);
        }
        run(RESTART_TIME.plus(RECOVERY_TIME).minus(TIME_BETWEEN_ENDS), perSecond, crashingPerSecond, crashing);
        sound = 0;
        soundRejected = 0;
        run(Duration.ofSeconds(40), perSecond, crashingPerSecond, crashing);
        assertThat((double) soundRejected / sound).isLessThan(0.01);
        assertThat(reachedOnceKnown).isLessThanOrEqualTo(MAXIMUM_REQUESTS_ONCE_KNOWN);
    }

    private void runDisturbed(double perSecond, double crashingPerSecond, Set<RequestTrait> crashing) {
        for (int second = 0; second < 40; second++) {
            disturb(second);
            run(Duration.ofSeconds(1), perSecond, crashingPerSecond, crashing);
        }
    }

    private void assertCauseIsFound() {
        assertThat(crashes).isGreaterThanOrEqualTo(3);
        assertThat(reachedOnceKnown).isLessThanOrEqualTo(MAXIMUM_REQUESTS_ONCE_KNOWN);
        assertThat((double) soundRejectedOnceSettled / Math.max(1, soundOnceSettled))
                .isLessThan(0.01);
    }

    private void disturb(int second) {
        if (second % 5 == 2) {
            entries.get(0).restart();
        }
        if (second % 8 == 3) {
            entries.get(1).member.cutFor(Duration.ofSeconds(4));
        }
    }

    private void start(int entryCount, int engineCount, long seed) {
        random = new Random(seed);
        GossipFleet fleet = new GossipFleet(entryCount, timers, random);
        fleet.members().forEach(member -> entries.add(new Entry(member)));
        for (int number = 0; number < engineCount; number++) {
            engines.add(new Engine(number));
        }
    }

    private void run(Duration time, double perSecond, double crashingPerSecond, Set<RequestTrait> crashing) {
        double seconds = STEP.toMillis() / 1_000.0;
        for (long step = 0; step < time.dividedBy(STEP); step++) {
            timers.advance(STEP);
            for (double due = perSecond * seconds; random.nextDouble() < due; due--) {
                anyEntry().request(traits(Set.of()), 2);
            }
            if (random.nextDouble() < crashingPerSecond * seconds) {
                anyEntry().request(traits(crashing), 2);
            }
            if (random.nextDouble() < engineEndsPerSecond * seconds) {
                engines.get(random.nextInt(engines.size())).end(0);
            }
        }
    }

    /** A request of its own with a common part, unless it is the one that its caller repeats. */
    private Set<RequestTrait> traits(Set<RequestTrait> crashing) {
        Set<RequestTrait> traits = new LinkedHashSet<>(crashing);
        traits.addAll(shared);
        if (!crashing.contains(CRASHING_REQUEST)) {
            traits.add(commonPart());
            traits.add(RequestTrait.ofRequest(identities++));
        }
        return traits;
    }

    private static boolean crashes(Set<RequestTrait> traits) {
        return traits.contains(CRASHING) || traits.contains(CRASHING_REQUEST);
    }

    private Entry anyEntry() {
        return entries.get(random.nextInt(entries.size()));
    }

    /** A few parts are common, most are rare. */
    private RequestTrait commonPart() {
        double fraction = random.nextDouble();
        return RequestTrait.ofPart((long) (fraction * fraction * COMMON_PARTS) + 1);
    }

    private boolean isKnown() {
        return crashes >= crashesUntilKnown
                && timers.nanoTime() - knownCrashNanos > GossipFleet.STABLE_WINDOW.toNanos();
    }

    private record Running(long number, Entry entry, Set<RequestTrait> traits, int attemptsLeft) {}

    private final class Engine {
        private final int number;
        private final Set<Running> running = new LinkedHashSet<>();
        private int incarnation;
        private boolean up = true;

        Engine(int number) {
            this.number = number;
        }

        void run(Running one) {
            running.add(one);
            later(one, 400, () -> {
                if (crashes(one.traits()) && !crashesAfterEvent) {
                    end(1);
                    return;
                }
                later(one, 800, () -> complete(one));
            });
        }

        private void complete(Running one) {
            if (crashes(one.traits())) {
                end(1);
                return;
            }
            running.remove(one);
            one.entry().ledger.recordServed(one.traits(), timers.nanoTime());
        }

        /** Runs a step of a request after some time, unless its engine has ended meanwhile. */
        private void later(Running one, int maximumMillis, Runnable step) {
            int startedIn = incarnation;
            timers.schedule(Duration.ofMillis(80 + random.nextInt(maximumMillis)), () -> {
                if (startedIn == incarnation && running.contains(one)) {
                    step.run();
                }
            });
        }

        void end(int counted) {
            if (!up) {
                return;
            }
            crashes += counted;
            if (crashes == crashesUntilKnown && counted > 0) {
                knownCrashNanos = timers.nanoTime();
            }
            up = false;
            Map<Entry, Set<RequestTrait>> suspects = new LinkedHashMap<>();
            running.forEach(one -> suspects.computeIfAbsent(one.entry(), entry -> new LinkedHashSet<>())
                    .addAll(one.traits()));
            List<Running> lost = new ArrayList<>(running);
            running.clear();
            long id = number * 1_000L + incarnation;
            incarnation++;
            suspects.forEach((entry, traits) ->
                    entry.ledger.add(new AgedCrash(new Crash(id, traits, Set.of()), Duration.ZERO), timers.nanoTime()));
            lost.forEach(one -> one.entry().request(one.traits(), one.attemptsLeft() - 1));
            timers.schedule(RESTART_TIME, () -> up = true);
        }
    }

    private final class Entry {
        private final GossipFleet.Member member;
        private CrashLedger ledger;

        Entry(GossipFleet.Member member) {
            this.member = member;
            restart();
        }

        void restart() {
            ledger = CrashLedger.create(part -> member.roster()
                    .assigneeOf("trial/" + part)
                    .filter(member.address()::equals)
                    .isPresent());
            member.start(new CrashGossip(ledger, LOG));
        }

        void request(Set<RequestTrait> traits, int attemptsLeft) {
            if (attemptsLeft == 0 || member.isCut()) {
                return;
            }
            boolean crashing = crashes(traits);
            boolean rejected = ledger.decide(traits, timers.nanoTime()) == CrashLedger.Decision.QUARANTINED;
            if (!crashing) {
                count(rejected);
            }
            List<Engine> running = engines.stream().filter(engine -> engine.up).toList();
            if (!rejected && running.isEmpty()) {
                ledger.trialNotSent(traits, timers.nanoTime());
            }
            if (rejected || running.isEmpty()) {
                return;
            }
            if (crashing && isKnown() && member.isInTouch()) {
                reachedOnceKnown++;
            }
            running.get(random.nextInt(running.size())).run(new Running(requests++, this, traits, attemptsLeft));
        }

        private void count(boolean rejected) {
            sound++;
            soundRejected += rejected ? 1 : 0;
            boolean settled = crashes >= crashesUntilKnown
                    && timers.nanoTime() - knownCrashNanos > 2 * GossipFleet.STABLE_WINDOW.toNanos();
            soundOnceSettled += settled ? 1 : 0;
            soundRejectedOnceSettled += settled && rejected ? 1 : 0;
        }
    }
}

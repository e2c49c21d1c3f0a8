package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.facts.Fact;
import org.galenahinge.facts.FactCursor;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactLog;
import org.galenahinge.facts.FactRank;
import org.galenahinge.facts.FactReadException;
import org.galenahinge.facts.FactReadException.Cause;
import org.galenahinge.facts.FactSource;
import org.galenahinge.facts.FactSynchronizer;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.facts.StorePosition;
import org.galenahinge.http.ResponseObserver;
import org.galenahinge.log.EventLog;
import org.galenahinge.upstream.WeightsVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Entries that hear at different times that a version was named, in a model of a fleet that loses datagrams. */
class VersionGossipTest {
    private static final Duration ROLLOUT = Duration.ofSeconds(8);
    private static final Duration REQUIRED_AFTER = Duration.ofMillis(6_500);
    private static final Duration TOLERANCE = Duration.ofMillis(300);
    private static final Duration SUSPENSION = Duration.ofSeconds(4);
    private static final WeightsVersion NEW = new WeightsVersion("m", 2);

    private final ManualTimers timers = new ManualTimers();
    private final EventLog log = EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry());
    private long namedNanos;

    /**
     * Guards against an entry that started or stood still after a version was named, and that sends requests on the old
     * version for longer than the others: from a second after it runs again it must count from the naming, as all do.
     */
    @ParameterizedTest
    @CsvSource({"2, 1", "2, 2", "7, 3", "8, 4", "20, 5", "49, 6", "150, 7", "570, 8"})
    void allEntriesCountFromTheNaming(int entryCount, long seed) {
        GossipFleet fleet = new GossipFleet(entryCount, timers, new Random(seed));
        List<Entry> entries = fleet.members().stream().map(Entry::new).toList();
        entries.forEach(Entry::start);
        timers.advance(Duration.ofSeconds(3));
        Entry restarted = entries.get(0);
        Entry stoodStill = entries.get(1);

        stoodStill.member.cutFor(Duration.ofSeconds(4));
        timers.advance(Duration.ofMillis(500));
        namedNanos = timers.nanoTime();
        entries.stream().filter(entry -> entry != stoodStill).forEach(Entry::readNewVersion);
        timers.advance(Duration.ofMillis(3_500));
        stoodStill.readNewVersion();
        timers.advance(Duration.ofSeconds(1));
        restarted.start();
        restarted.readNewVersion();
        assertThat(restarted.isRequired()).isTrue();

        timers.advance(Duration.ofSeconds(1));
        advanceTo(REQUIRED_AFTER.minus(TOLERANCE));
        assertThat(entries).noneMatch(Entry::isRequired);
        advanceTo(REQUIRED_AFTER.plus(TOLERANCE));
        assertThat(entries).allMatch(Entry::isRequired);
    }

    /**
     * Guards against an entry whose VM was suspended within the rollout, so that its monotonic clock lags, and that allows the
     * old version for longer than the others: neither when it runs again, nor once it relies on what others tell it.
     */
    @ParameterizedTest
    @CsvSource({"2, 1", "7, 2", "20, 3", "49, 4", "150, 5", "570, 6"})
    void anEntryThatWasSuspendedCountsFromTheNaming(int entryCount, long seed) {
        GossipFleet fleet = new GossipFleet(entryCount, timers, new Random(seed));
        List<Entry> entries = fleet.members().stream().map(Entry::new).toList();
        Entry suspended = entries.get(0);
        SuspendedTimers lagging = new SuspendedTimers();
        entries.stream().skip(1).forEach(Entry::start);
        suspended.start(lagging);
        timers.advance(Duration.ofSeconds(3));
        namedNanos = timers.nanoTime();
        entries.forEach(Entry::readNewVersion);
        advanceTo(Duration.ofSeconds(3));
        suspended.member.cutFor(SUSPENSION);
        suspended.isRequired();
        advanceTo(Duration.ofSeconds(3).plus(SUSPENSION));
        lagging.lag = SUSPENSION;
        for (int step = 0; step < 40; step++) {
            assertThat(suspended.isRequired()).as("after %s steps", step).isTrue();
            timers.advance(Duration.ofMillis(50));
        }
    }

    /**
     * Guards against a version of unknown age that an entry takes for new, and tells all others so: the entry started on an
     * older copy of the store, and only another one that has started since still held the version.
     */
    @ParameterizedTest
    @CsvSource({"2, 1, true", "7, 2, true", "20, 3, true", "150, 4, true", "2, 5, false", "7, 6, false", "150, 7, false"
    })
    void noEntryTakesAVersionForNewThatWasRetained(int entryCount, long seed, boolean respondsAtStart) {
        GossipFleet fleet = new GossipFleet(entryCount, timers, new Random(seed));
        List<Entry> entries = fleet.members().stream().map(Entry::new).toList();
        for (Entry entry : entries.subList(1, entries.size())) {
            entry.start();
            entry.facts.apply(List.of(entry.item("version")), FactSynchronizer.AGE_UNKNOWN);
        }
        CopyAndPeer sources = new CopyAndPeer();
        sources.responds = respondsAtStart;
        entries.get(0).start();
        entries.get(0).readFrom(sources);
        timers.advance(Duration.ofSeconds(2));
        sources.responds = true;
        sources.delivers = true;
        for (int step = 0; step < 60; step++) {
            timers.advance(Duration.ofMillis(100));
            boolean hasRead = entries.get(0).facts.newestNamed("m").isPresent();
            assertThat(entries.subList(hasRead ? 0 : 1, entryCount)).allMatch(Entry::isRequired);
        }
        assertThat(entries.get(0).facts.newestNamed("m")).contains(NEW);
    }

    private void advanceTo(Duration sinceNaming) {
        timers.advance(Duration.ofNanos(namedNanos + sinceNaming.toNanos() - timers.nanoTime()));
    }

    private Fact decode(FactItem item) {
        return item.key().equals("other") ? new Fact.Unreadable("other", "") : new Fact.VersionNamed(NEW);
    }

    /** A store that was restored from a copy without the version, and another entry that retained it. */
    private final class CopyAndPeer implements FactSynchronizer.Peers {
        private static final StorePosition RESTORED = new StorePosition(2, 5);

        private boolean responds;
        private boolean delivers;

        @Override
        public boolean isWatcher() {
            return false;
        }

        @Override
        public int storeTurn() {
            return 1;
        }

        @Override
        public Optional<FactSource> peer(int failures) {
            return Optional.of(source("peer", () -> responds, () -> delivers));
        }

        FactSource store() {
            return source("store", () -> true, () -> false);
        }

        private FactSource source(String name, BooleanSupplier isUp, BooleanSupplier hasVersion) {
            return new FactSource() {
                @Override
                public CompletionStage<ReadResult> read(FactCursor after, Duration wait, ResponseObserver observer) {
                    CompletableFuture<ReadResult> result = new CompletableFuture<>();
                    timers.schedule(Duration.ofMillis(100), () -> {
                        if (isUp.getAsBoolean()) {
                            result.complete(items(hasVersion.getAsBoolean()));
                        } else {
                            result.completeExceptionally(new FactReadException(Cause.SILENT, "on purpose"));
                        }
                    });
                    return result;
                }

                @Override
                public String name() {
                    return name;
                }
            };
        }

        private FactSource.ReadResult items(boolean hasVersion) {
            FactItem other = FactItem.written("other", new byte[0], new StorePosition(2, 1));
            FactItem version = FactItem.written("version", new byte[0], RESTORED)
                    .withRank(FactRank.ofVersion(NEW.version()))
                    .withPreviousRevision(RESTORED.revision());
            List<FactItem> items = hasVersion ? List.of(other, version) : List.of(other);
            return new FactSource.ReadResult(items, true, FactCursor.at(RESTORED), Duration.ZERO);
        }
    }

    /** Timers of a VM that was suspended: their monotonic clock lags by that time, the time of day does not. */
    private final class SuspendedTimers implements Timers {
        private Duration lag = Duration.ZERO;

        @Override
        public long nanoTime() {
            return timers.nanoTime() - lag.toNanos();
        }

        @Override
        public Instant timeOfDay() {
            return timers.timeOfDay();
        }

        @Override
        public Timer schedule(Duration delay, Runnable action) {
            return timers.schedule(delay, action);
        }
    }

    private final class Entry {
        private final GossipFleet.Member member;
        private FleetFacts facts;
        private boolean started;

        Entry(GossipFleet.Member member) {
            this.member = member;
        }

        /** Starts the entry; the first time the version is not named yet, later it is among the first items. */
        void start() {
            start(timers);
        }

        void start(Timers ownTimers) {
            facts = FleetFacts.create(VersionGossipTest.this::decode, ownTimers, log);
            if (!started) {
                facts.apply(List.of(item("other")));
            }
            started = true;
            member.start(new VersionGossip(facts, ROLLOUT));
        }

        void readFrom(CopyAndPeer sources) {
            FactLog items = FactLog.create(1);
            FactSynchronizer.create(sources.store(), sources, items, facts::apply, timers, log, 1)
                    .start();
        }

        void readNewVersion() {
            facts.apply(List.of(item("version")));
        }

        boolean isRequired() {
            return facts.newestNamedBefore("m", REQUIRED_AFTER).equals(OptionalLong.of(2));
        }

        private FactItem item(String key) {
            return FactItem.written(key, new byte[0], new StorePosition(1, 1));
        }
    }
}

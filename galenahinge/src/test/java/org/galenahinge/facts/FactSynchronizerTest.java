package org.galenahinge.facts;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.facts.FactReadException.Cause;
import org.galenahinge.http.ResponseObserver;
import org.galenahinge.log.EventLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class FactSynchronizerTest {
    private static final Duration TRANSFER_STEP = Duration.ofMillis(100);

    private final ManualTimers timers = new ManualTimers();
    private final FakeSource store = new FakeSource("store");
    private final FakeSource peer = new FakeSource("peer");
    private final List<FactItem> changedItems = new ArrayList<>();
    private final List<Duration> maximumAges = new ArrayList<>();
    private final Map<String, Duration> agesByKey = new HashMap<>();
    private boolean watcher;
    private int storeTurn = 1;
    private int recoveries;
    private boolean peerKnown = true;
    private boolean listenerFails;
    private final FactSynchronizer synchronizer = FactSynchronizer.create(
            store,
            new Peers(),
            FactLog.create(1),
            (items, maximumAge) -> {
                changedItems.addAll(items);
                items.forEach(item -> agesByKey.put(item.key(), maximumAge));
                maximumAges.add(maximumAge);
                if (listenerFails) {
                    throw new IllegalStateException("on purpose");
                }
            },
            timers,
            EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry()),
            7);

    @BeforeEach
    void countRecoveries() {
        synchronizer.onStoreRecovered(() -> recoveries++);
    }

    @Test
    void readsFromThePeerAndNotFromTheStore() {
        synchronizer.start();
        timers.advance(Duration.ofSeconds(20));
        assertThat(synchronizer.isLoaded()).isTrue();
        assertThat(store.reads).isLessThanOrEqualTo(2);
        assertThat(synchronizer.age()).isLessThan(FactSynchronizer.STALE_AFTER);
    }

    /**
     * If the watcher is unresponsive, a change is still received within the two seconds that upstreams have to drain.
     */
    @Test
    void readsTheStoreIfThePeerIsUnresponsive() {
        synchronizer.start();
        timers.advance(Duration.ofSeconds(3));
        peer.unresponsive = true;
        store.publish("change");
        timers.advance(Duration.ofMillis(1_800));
        assertThat(changedItems).extracting(FactItem::key).contains("change");
        assertThat(maximumAges.get(maximumAges.size() - 1)).isLessThanOrEqualTo(Duration.ofMillis(1_800));
    }

    /**
     * Guards against nodes that all read the store at the same moment because those that they read from are stale: the later
     * the turn of a node, the longer it waits for others.
     */
    @ParameterizedTest
    @CsvSource({"1, 0, 1400", "4, 600, 2000", "15, 1700, 3200"})
    void waitsForItsTurnAtTheStoreIfItsPeerIsStale(int turn, long earliestMillis, long latestMillis) {
        storeTurn = turn;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(8));
        peer.age = Duration.ofSeconds(9);
        int before = store.reads;
        timers.advance(Duration.ofMillis(earliestMillis));
        assertThat(store.reads).isEqualTo(before);
        timers.advance(Duration.ofMillis(latestMillis - earliestMillis));
        assertThat(store.reads).isGreaterThan(before);
    }

    /**
     * Guards against reading from the store what is on its way from another node already, over the same link, and against
     * waiting for a node whose link is narrow.
     */
    @ParameterizedTest
    @CsvSource({"1000, false", "3000, true"})
    void waitsALittleForAResponseThatArrivesSlowly(long transferMillis, boolean readsStore) {
        storeTurn = 2;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(8));
        peer.transferTime = Duration.ofMillis(transferMillis);
        peer.publish("change");
        int before = store.reads;
        for (int step = 0; step < 50 && changedItems.isEmpty(); step++) {
            timers.advance(TRANSFER_STEP);
        }
        assertThat(changedItems).extracting(FactItem::key).contains("change");
        assertThat(store.reads > before).isEqualTo(readsStore);
    }

    /** Guards against facts that pass for newer than they are because the response that brought them took long to arrive. */
    @Test
    void countsTheTimeThatAResponseTookToArrive() {
        synchronizer.start();
        timers.advance(Duration.ofSeconds(8));
        store.unresponsive = true;
        peer.transferTime = Duration.ofSeconds(3);
        peer.publish("change");
        List<Duration> ages = new ArrayList<>();
        synchronizer.onRefresh(() -> {
            if (!changedItems.isEmpty()) {
                ages.add(synchronizer.age());
            }
        });
        timers.advance(Duration.ofMillis(4_500));
        assertThat(ages.get(0)).isGreaterThanOrEqualTo(Duration.ofMillis(2_900));
    }

    /** Guards against an entry that takes its facts for the newest right after its VM was suspended. */
    @Test
    void doesNotKnowTheAgeOfItsFactsAfterASuspensionUntilItReads() {
        synchronizer.start();
        timers.advance(Duration.ofSeconds(8));
        assertThat(synchronizer.confirmedAge()).isPresent();
        timers.stepTimeOfDay(Duration.ofSeconds(5));
        assertThat(synchronizer.confirmedAge()).isEmpty();
        timers.advance(Duration.ofSeconds(2));
        assertThat(synchronizer.confirmedAge()).isPresent();
    }

    /** Guards against a watcher that falls behind for good, since the versions of a large item come faster than it reads them. */
    @ParameterizedTest
    @CsvSource({"200, false", "1500, true"})
    void readsAllItemsInsteadOfManyVersionsOfALargeOne(long transferMillis, boolean isSnapshot) {
        watcher = true;
        peerKnown = false;
        store.publish("other");
        synchronizer.start();
        timers.advance(Duration.ofSeconds(8));
        store.transferTime = Duration.ofMillis(transferMillis);
        for (int version = 0; version < 2; version++) {
            timers.advance(Duration.ofMillis(transferMillis + 1_000));
            store.publishLarge("large");
        }
        timers.advance(Duration.ofMillis(2 * transferMillis + 2_000));
        assertThat(store.snapshots).isBetween(isSnapshot ? 2 : 1, isSnapshot ? 3 : 1);
        assertThat(changedItems.stream().filter(item -> item.key().equals("large")))
                .hasSize(2);
    }

    /** A watcher that cannot reach the store reads from another node and reports the age of its facts. */
    @Test
    void aWatcherWithoutTheStoreReadsFromAPeer() {
        watcher = true;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(3));
        store.unresponsive = true;
        peer.publish("change");
        timers.advance(Duration.ofSeconds(2));
        assertThat(changedItems).extracting(FactItem::key).contains("change");
    }

    /**
     * The store rejects reads of the watcher, which therefore sends old facts. This node keeps reading the store
     * directly instead of waiting until its facts are stale each time.
     */
    @Test
    void factsDoNotBecomeStaleRepeatedlyIfTheWatcherSendsOldFacts() {
        synchronizer.start();
        timers.advance(Duration.ofSeconds(3));
        peer.age = Duration.ofSeconds(9);
        timers.advance(Duration.ofSeconds(2));
        for (int step = 0; step < 80; step++) {
            timers.advance(Duration.ofMillis(100));
            assertThat(synchronizer.age()).isLessThan(Duration.ofMillis(1_500));
        }
        assertThat(recoveries).isZero();
    }

    /**
     * Recovery is reported only after neither the store nor a peer responded; upstream records may have expired then.
     */
    @Test
    void reportsThatTheStoreRecoveredOnlyAfterAnOutage() {
        synchronizer.start();
        timers.advance(Duration.ofSeconds(3));
        store.unresponsive = true;
        peer.unresponsive = true;
        timers.advance(Duration.ofSeconds(5));
        store.unresponsive = false;
        timers.advance(Duration.ofSeconds(3));
        assertThat(recoveries).isEqualTo(1);
    }

    /**
     * Guards against a node that starts while the store holds an older copy of itself, and believes it although another
     * node knows better.
     */
    @Test
    void asksAPeerBeforeItReliesOnTheStoreAtStart() {
        store.delay = Duration.ofMillis(5);
        peer.delay = Duration.ofMillis(300);
        synchronizer.start();
        timers.advance(Duration.ofMillis(200));
        assertThat(synchronizer.isLoaded()).isFalse();
        timers.advance(Duration.ofMillis(200));
        assertThat(synchronizer.isLoaded()).isTrue();
    }

    /** Guards against nodes that start together and all read from the store, over one link, what another node has as well. */
    @ParameterizedTest
    @CsvSource({"250, 0, false", "250, 2000, false", "450, 0, true"})
    void doesNotReadTheStoreAtStartIfAPeerResponds(long delayMillis, long transferMillis, boolean readsStore) {
        storeTurn = 2;
        peer.delay = Duration.ofMillis(delayMillis);
        peer.transferTime = Duration.ofMillis(transferMillis);
        peer.publish("known");
        synchronizer.start();
        timers.advance(Duration.ofSeconds(3));
        assertThat(synchronizer.isLoaded()).isTrue();
        assertThat(store.reads > 0).isEqualTo(readsStore);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reliesOnTheStoreIfNoPeerResponds(boolean silent) {
        peer.unresponsive = silent;
        peer.failure = silent ? Optional.empty() : Optional.of(Cause.REFUSED);
        synchronizer.start();
        timers.advance(Duration.ofMillis(900));
        assertThat(synchronizer.isLoaded()).isTrue();
    }

    /** Guards against dropping at once all records that the store lost: those that still run write theirs again. */
    @Test
    void reportsAStoreThatWasRestoredAsRecovered() {
        watcher = true;
        peerKnown = false;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(1));
        store.publish("lost");
        timers.advance(Duration.ofSeconds(1));
        store.restore();
        timers.advance(Duration.ofSeconds(2));
        assertThat(recoveries).isEqualTo(1);
        assertThat(changedItems.get(changedItems.size() - 1).removed()).isTrue();
        store.publish("lost");
        timers.advance(Duration.ofSeconds(1));
        assertThat(changedItems.get(changedItems.size() - 1).removed()).isFalse();
    }

    /** Guards against an upstream that is never used again because its record expired just before the store was restored. */
    @Test
    void theWatcherTakesBackWhatTheRestoredStoreHoldsForLong() {
        watcher = true;
        peerKnown = false;
        store.publish("up");
        synchronizer.start();
        timers.advance(Duration.ofSeconds(1));
        store.remove("up");
        timers.advance(Duration.ofSeconds(1));
        store.restore();
        store.publish("up");
        timers.advance(Duration.ofSeconds(5));
        assertThat(changedItems.get(changedItems.size() - 1).removed()).isTrue();
        timers.advance(Duration.ofSeconds(7));
        assertThat(changedItems.get(changedItems.size() - 1).removed()).isFalse();
    }

    /** Guards against a response that was delayed until after the store had been restored. */
    @Test
    void ignoresAResponseFromBeforeTheStoreWasRestored() {
        watcher = true;
        peerKnown = false;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(1));
        store.restore();
        timers.advance(Duration.ofSeconds(2));
        store.epoch--;
        store.publish("older");
        timers.advance(Duration.ofSeconds(2));
        assertThat(changedItems).extracting(FactItem::key).doesNotContain("older");
    }

    /** Guards against a watcher that never learns what only other nodes still know after the store was restored. */
    @Test
    void theWatcherReadsAPeerAfterTheStoreWasRestored() {
        watcher = true;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(8));
        int before = peer.reads;
        timers.advance(Duration.ofSeconds(2));
        assertThat(peer.reads).isEqualTo(before);
        store.restore();
        timers.advance(Duration.ofSeconds(2));
        assertThat(peer.reads).isGreaterThan(before);
    }

    @ParameterizedTest
    @EnumSource(Cause.class)
    void retriesWithBackoffAfterEveryKindOfFailure(Cause cause) {
        watcher = true;
        peerKnown = false;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(1));
        store.failure = Optional.of(cause);
        int before = store.reads;
        timers.advance(Duration.ofSeconds(4));
        assertThat(store.reads - before).isBetween(4, 30);
        store.failure = Optional.empty();
        store.publish("change");
        timers.advance(Duration.ofSeconds(2));
        assertThat(changedItems).extracting(FactItem::key).contains("change");
    }

    /** Guards against a change being taken for new by a node that stood still while it was published. */
    @ParameterizedTest
    @CsvSource({
        "true, 2000",
        "true, 2600",
        "true, 3000",
        "true, 5000",
        "false, 2000",
        "false, 2600",
        "false, 3000",
        "false, 5000"
    })
    void tellsTheAgeOfChangesThatItReadsAfterStandingStill(boolean isWatcher, long stillMillis) {
        watcher = isWatcher;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(3));
        timers.standStill(Duration.ofMillis(stillMillis));
        (isWatcher ? store : peer).publish("change");
        timers.advance(Duration.ofMillis(400));
        assertThat(agesByKey).containsKey("change");
        assertThat(agesByKey.get("change")).isGreaterThanOrEqualTo(Duration.ofMillis(stillMillis));
    }

    /**
     * Guards against a change being taken for new by a node whose VM was suspended while it was published: the monotonic clock
     * did not count that time.
     */
    @ParameterizedTest
    @CsvSource({"true, 4000", "false, 4000", "true, 600", "false, 600"})
    void doesNotWitnessWhatWasPublishedWhileItWasSuspended(boolean isWatcher, long suspendedMillis) {
        watcher = isWatcher;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(8));
        timers.stepTimeOfDay(Duration.ofMillis(suspendedMillis));
        (isWatcher ? store : peer).publish("change");
        timers.advance(Duration.ofSeconds(1));
        assertThat(agesByKey).containsEntry("change", FactSynchronizer.AGE_UNKNOWN);
        (isWatcher ? store : peer).publish("later");
        timers.advance(Duration.ofSeconds(1));
        assertThat(agesByKey).containsEntry("later", Duration.ZERO);
    }

    /**
     * Guards against a version that is taken for new because a peer retained it over a restored store, or has not noticed
     * that the store was restored.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotWitnessWhatAnotherNodeHeldBefore(boolean isRetained) {
        store.epoch = 2;
        peer.epoch = 2;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(8));
        if (isRetained) {
            peer.retain("version");
        } else {
            peer.epoch = 1;
            peer.publishVersion("version");
        }
        timers.advance(Duration.ofSeconds(2));
        assertThat(agesByKey).containsEntry("version", FactSynchronizer.AGE_UNKNOWN);
    }

    /**
     * Guards against a version that is taken for new by a node that started on an older copy of the store, as soon as another
     * node delivers the version or the operator writes it again.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotWitnessWhatItFindsBeforeAnotherNodeHasResponded(boolean isReadFromPeer) {
        peer.unresponsive = true;
        store.publish("other");
        synchronizer.start();
        timers.advance(Duration.ofSeconds(2));
        assertThat(synchronizer.isLoaded()).isTrue();
        if (isReadFromPeer) {
            peer.publish("other");
            peer.publish("version");
            peer.unresponsive = false;
        } else {
            store.publish("version");
        }
        timers.advance(Duration.ofMillis(1_500));
        assertThat(agesByKey).containsEntry("version", FactSynchronizer.AGE_UNKNOWN);
    }

    /** Guards against refusing the version before at once, because nobody witnesses one that is named right after a restore. */
    @ParameterizedTest
    @CsvSource({"true, 0", "true, 300", "true, 2000", "false, 0", "false, 300", "false, 2000"})
    void witnessesWhatIsNewRightAfterARestoreThatItRanThrough(boolean isWatcher, long sinceRestoreMillis) {
        watcher = isWatcher;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(3));
        store.restore();
        peer.restore();
        timers.advance(Duration.ofMillis(sinceRestoreMillis));
        store.publish("version");
        peer.publish("version");
        timers.advance(Duration.ofSeconds(1));
        assertThat(agesByKey).containsEntry("version", Duration.ZERO);
    }

    /** Guards against a node that never witnesses a version because it has found no other node since its start. */
    @Test
    void witnessesOnceItNoLongerExpectsAnotherNodeToRespond() {
        watcher = true;
        peer.unresponsive = true;
        store.publish("other");
        synchronizer.start();
        timers.advance(Duration.ofSeconds(7));
        store.publish("version");
        timers.advance(Duration.ofSeconds(1));
        assertThat(agesByKey).containsEntry("version", Duration.ZERO);
    }

    /** Guards against a node that follows no changes any more because it failed on one, or on the first ones. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void readsOnIfTheListenerFails(boolean fromTheStart) {
        peerKnown = false;
        watcher = true;
        listenerFails = fromTheStart;
        int[] refreshes = {0};
        synchronizer.onRefresh(() -> refreshes[0]++);
        store.publish("first");
        synchronizer.start();
        timers.advance(Duration.ofSeconds(1));
        listenerFails = true;
        store.publish("second");
        timers.advance(Duration.ofSeconds(1));
        int before = refreshes[0];
        store.publish("third");
        timers.advance(Duration.ofSeconds(2));
        assertThat(changedItems).extracting(FactItem::key).containsExactly("first", "second", "third");
        assertThat(refreshes[0]).isGreaterThan(before);
    }

    /** Guards against a node whose checks end because they rely on the facts at the wrong moment and fail. */
    @Test
    void readsOnIfTheListenerFailsOnceTheFactsAreRelied() {
        peer.unresponsive = true;
        listenerFails = true;
        store.publish("first");
        synchronizer.start();
        timers.advance(Duration.ofSeconds(2));
        peer.unresponsive = false;
        peer.publish("first");
        peer.publish("second");
        timers.advance(Duration.ofSeconds(4));
        assertThat(changedItems).extracting(FactItem::key).contains("first", "second");
    }

    /** Guards against a source that is never read again because a read of it could not begin. */
    @Test
    void readsOnIfAReadCannotBegin() {
        peerKnown = false;
        watcher = true;
        synchronizer.start();
        timers.advance(Duration.ofSeconds(1));
        store.cannotBegin = true;
        timers.advance(Duration.ofSeconds(1));
        store.cannotBegin = false;
        store.publish("change");
        timers.advance(Duration.ofSeconds(2));
        assertThat(changedItems).extracting(FactItem::key).contains("change");
    }

    private final class Peers implements FactSynchronizer.Peers {
        @Override
        public boolean isWatcher() {
            return watcher;
        }

        @Override
        public int storeTurn() {
            return watcher ? 0 : storeTurn;
        }

        @Override
        public Optional<FactSource> peer(int failures) {
            return peerKnown ? Optional.of(peer) : Optional.empty();
        }
    }

    /** Responds at once if there are changes, otherwise after the wait; fails on demand. */
    private final class FakeSource implements FactSource {
        private final String name;
        private final List<FactItem> items = new ArrayList<>();
        private Optional<Cause> failure = Optional.empty();
        private boolean unresponsive;
        private boolean cannotBegin;
        private Duration age = Duration.ZERO;
        private Duration delay = Duration.ofMillis(5);
        private Duration transferTime = Duration.ZERO;
        private long epoch = 1;
        private long revision = 1;
        private int reads;
        private int snapshots;

        FakeSource(String name) {
            this.name = name;
        }

        void publish(String key) {
            items.add(FactItem.written(key, new byte[0], new StorePosition(epoch, ++revision)));
        }

        void publishLarge(String key) {
            items.removeIf(item -> item.key().equals(key));
            byte[] value = new byte[1 << 10];
            Arrays.fill(value, (byte) ++revision);
            items.add(FactItem.written(key, value, new StorePosition(epoch, revision)));
        }

        void publishVersion(String key) {
            FactItem item = FactItem.written(key, new byte[0], new StorePosition(epoch, ++revision));
            items.add(item.withRank(FactRank.ofVersion(2)));
        }

        void remove(String key) {
            items.removeIf(item -> item.key().equals(key));
            items.add(FactItem.removed(key, new StorePosition(epoch, ++revision)));
        }

        /** Holds a version over a store that was restored from a copy without it. */
        void retain(String key) {
            StorePosition position = new StorePosition(epoch, ++revision);
            items.add(FactItem.written(key, new byte[0], position)
                    .withRank(FactRank.ofVersion(2))
                    .retainedAt(position));
        }

        /** Goes back to the empty store that it was at the start. */
        void restore() {
            epoch++;
            revision = 1;
            items.clear();
        }

        @Override
        public CompletionStage<ReadResult> read(FactCursor after, Duration wait, ResponseObserver observer) {
            reads++;
            if (cannotBegin) {
                throw new IllegalArgumentException("on purpose");
            }
            CompletableFuture<ReadResult> result = new CompletableFuture<>();
            if (failure.isPresent()) {
                timers.schedule(
                        Duration.ofMillis(5),
                        () -> result.completeExceptionally(new FactReadException(failure.get(), "on purpose")));
                return result;
            }
            if (unresponsive) {
                timers.schedule(
                        wait.plusMillis(350),
                        () -> result.completeExceptionally(new FactReadException(Cause.SILENT, "no response")));
                return result;
            }
            boolean snapshot = !after.position().isKnown() || after.position().epoch() != epoch;
            snapshots += snapshot ? 1 : 0;
            List<FactItem> changes = items.stream()
                    .filter(item ->
                            snapshot || item.revision() > after.position().revision())
                    .toList();
            FactCursor cursor = FactCursor.at(new StorePosition(epoch, revision));
            boolean respondAtOnce = snapshot || !changes.isEmpty();
            timers.schedule(
                    respondAtOnce ? delay : wait,
                    () -> transfer(
                            respondAtOnce ? transferTime : Duration.ZERO,
                            observer,
                            () -> result.complete(new ReadResult(changes, snapshot, cursor, age))));
            return result;
        }

        private void transfer(Duration remaining, ResponseObserver observer, Runnable onComplete) {
            if (remaining.isZero()) {
                onComplete.run();
                return;
            }
            observer.bytesArrived();
            timers.schedule(TRANSFER_STEP, () -> transfer(remaining.minus(TRANSFER_STEP), observer, onComplete));
        }

        @Override
        public String name() {
            return name;
        }
    }
}

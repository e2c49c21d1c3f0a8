package org.galenahinge.facts;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.facts.FactReadException.Cause;
import org.galenahinge.log.EventLog;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class FactFollowerTest {
    private final ManualTimers timers = new ManualTimers();
    private final Source store = new Source("store");
    private final Source peer = new Source("peer");
    private final List<FactItem> heard = new ArrayList<>();
    private final List<Duration> olderBy = new ArrayList<>();
    private boolean watcher;
    private int returns;
    private boolean peerKnown = true;
    private final FactFollower follower = FactFollower.create(
            store,
            new Peers(),
            new FactLog(),
            (items, older) -> {
                heard.addAll(items);
                olderBy.add(older);
            },
            timers,
            EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry()),
            7);

    @BeforeEach
    void countReturns() {
        follower.onReturn(() -> returns++);
    }

    @Test
    void readsFromTheNearerSourceAndLeavesTheStoreAlone() {
        follower.begin();
        timers.advance(Duration.ofSeconds(20));
        assertThat(follower.isLoaded()).isTrue();
        assertThat(store.reads).isLessThanOrEqualTo(2);
        assertThat(follower.age()).isLessThan(FactFollower.STALE_AFTER);
    }

    /** The watcher has fallen silent: a change is known within the two seconds that upstreams may drain in. */
    @Test
    void readsTheStoreWhenItsSourceFallsSilent() {
        follower.begin();
        timers.advance(Duration.ofSeconds(3));
        peer.silent = true;
        store.publish("change");
        timers.advance(Duration.ofMillis(1_800));
        assertThat(heard).extracting(FactItem::key).contains("change");
        assertThat(olderBy.get(olderBy.size() - 1)).isLessThanOrEqualTo(Duration.ofMillis(1_800));
    }

    /** A watcher that cannot reach the store learns from another node, and says how old its facts are. */
    @Test
    void aWatcherWithoutTheStoreLearnsFromAPeer() {
        watcher = true;
        follower.begin();
        timers.advance(Duration.ofSeconds(3));
        store.silent = true;
        peer.publish("change");
        timers.advance(Duration.ofSeconds(2));
        assertThat(heard).extracting(FactItem::key).contains("change");
    }

    /** The watcher is turned away by the store and answers with old facts: this node reads on by itself. */
    @Test
    void doesNotGoStaleAgainAndAgainBesideAWatcherWithOldFacts() {
        follower.begin();
        timers.advance(Duration.ofSeconds(3));
        peer.age = Duration.ofSeconds(9);
        timers.advance(Duration.ofSeconds(2));
        for (int tenth = 0; tenth < 80; tenth++) {
            timers.advance(Duration.ofMillis(100));
            assertThat(follower.age()).isLessThan(Duration.ofMillis(1_500));
        }
        assertThat(returns).isZero();
    }

    /** Only a store that was away for all counts as returned: then entries may have lapsed. */
    @Test
    void saysThatTheStoreReturnedOnlyAfterItWasAway() {
        follower.begin();
        timers.advance(Duration.ofSeconds(3));
        store.silent = true;
        peer.silent = true;
        timers.advance(Duration.ofSeconds(5));
        store.silent = false;
        timers.advance(Duration.ofSeconds(3));
        assertThat(returns).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(Cause.class)
    void triesAgainAfterEveryKindOfFailureWithoutAStampede(Cause cause) {
        watcher = true;
        peerKnown = false;
        follower.begin();
        timers.advance(Duration.ofSeconds(1));
        store.failure = Optional.of(cause);
        int before = store.reads;
        timers.advance(Duration.ofSeconds(4));
        assertThat(store.reads - before).isBetween(4, 30);
        store.failure = Optional.empty();
        store.publish("change");
        timers.advance(Duration.ofSeconds(2));
        assertThat(heard).extracting(FactItem::key).contains("change");
    }

    private final class Peers implements FactFollower.Peers {
        @Override
        public boolean isWatcher() {
            return watcher;
        }

        @Override
        public boolean isSource() {
            return watcher;
        }

        @Override
        public Optional<FactStore> source(int failures) {
            return peerKnown ? Optional.of(peer) : Optional.empty();
        }
    }

    /** Answers after its wait, or never. */
    private final class Source implements FactStore {
        private final String name;
        private final List<FactItem> items = new ArrayList<>();
        private Optional<Cause> failure = Optional.empty();
        private boolean silent;
        private Duration age = Duration.ZERO;
        private long revision = 1;
        private int reads;

        Source(String name) {
            this.name = name;
        }

        void publish(String key) {
            items.add(FactItem.written(key, new byte[0], ++revision));
        }

        @Override
        public CompletionStage<Reading> read(long after, Duration wait) {
            reads++;
            CompletableFuture<Reading> reading = new CompletableFuture<>();
            if (failure.isPresent()) {
                timers.schedule(
                        Duration.ofMillis(5),
                        () -> reading.completeExceptionally(new FactReadException(failure.get(), "on purpose")));
                return reading;
            }
            if (silent) {
                timers.schedule(
                        wait.plusMillis(350),
                        () -> reading.completeExceptionally(new FactReadException(Cause.SILENT, "silent")));
                return reading;
            }
            List<FactItem> news =
                    items.stream().filter(item -> item.revision() > after).toList();
            boolean atOnce = after == 0 || !news.isEmpty();
            timers.schedule(
                    atOnce ? Duration.ofMillis(5) : wait,
                    () -> reading.complete(new Reading(news, after == 0, revision, age)));
            return reading;
        }

        @Override
        public String name() {
            return name;
        }
    }
}

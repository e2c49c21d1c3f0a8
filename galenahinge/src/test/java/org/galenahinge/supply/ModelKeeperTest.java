package org.galenahinge.supply;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.supply.EngineControl.EngineReport;
import org.galenahinge.supply.EngineControl.OrderResult;
import org.galenahinge.supply.LoadPlan.NamedVersion;
import org.galenahinge.upstream.WeightsVersion;
import org.junit.jupiter.api.Test;

class ModelKeeperTest {
    private static final int CHUNKS = 4;

    private final ManualTimers timers = new ManualTimers();
    private final FakeEngine engine = new FakeEngine();
    private final FakeSource source = new FakeSource();
    private final ModelKeeper keeper = ModelKeeper.create(
            engine,
            failures -> Optional.of(source),
            Duration.ofSeconds(8),
            timers,
            EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry()),
            new MetricRegistry());

    @Test
    void loadsAnEmptyEngineAtOnce() {
        keeper.want(digests(1), Duration.ofSeconds(30), LoadPlan.UNKNOWN);
        report(Duration.ofMillis(300));
        assertThat(engine.loaded).containsExactly(1L);
    }

    @Test
    void anEngineThatWorksGoesOnUntilItsTurn() {
        engine.held = 1;
        LoadPlan plan = new LoadPlan(List.of(new NamedVersion(2, Duration.ofMillis(3_500))), 1);
        keeper.want(digests(2), Duration.ofMillis(3_500), plan);
        report(Duration.ofSeconds(3));
        assertThat(engine.loaded).isEmpty();
        report(Duration.ofMillis(800));
        assertThat(engine.loaded).containsExactly(2L);
    }

    /** A chunk that rots while the engine waits for its turn is found before the order, and fetched again. */
    @Test
    void readsChunksBackBeforeTheOrder() {
        engine.held = 1;
        LoadPlan plan = new LoadPlan(List.of(new NamedVersion(2, Duration.ofMillis(3_500))), 1);
        keeper.want(digests(2), Duration.ofMillis(3_500), plan);
        report(Duration.ofSeconds(1));
        engine.staged.put(2, "rotten".getBytes(StandardCharsets.UTF_8));
        report(Duration.ofMillis(3_500));
        assertThat(engine.loaded).containsExactly(2L);
        assertThat(engine.stagedAtOrder.get(2)).isEqualTo(TestWeights.chunk(2, 2));
    }

    @Test
    void aSpoiltChunkIsNotLaidBesideTheEngine() {
        source.spoilNext = 3;
        keeper.want(digests(1), Duration.ZERO, LoadPlan.UNKNOWN);
        report(Duration.ofSeconds(2));
        assertThat(engine.loaded).containsExactly(1L);
        assertThat(source.spoilNext).isZero();
    }

    @Test
    void aNewerVersionTakesTheOldOnesPlace() {
        source.answers = false;
        keeper.want(digests(1), Duration.ZERO, LoadPlan.UNKNOWN);
        report(Duration.ofMillis(200));
        source.answers = true;
        keeper.want(digests(2), Duration.ZERO, LoadPlan.UNKNOWN);
        keeper.want(digests(1), Duration.ZERO, LoadPlan.UNKNOWN);
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(2L);
    }

    /** The newest version cannot be had: the one before is loaded, and the newest when it can be had again. */
    @Test
    void loadsAnOlderVersionWhileTheNewestCannotBeHad() {
        LoadPlan plan = new LoadPlan(
                List.of(new NamedVersion(2, Duration.ofSeconds(6)), new NamedVersion(3, Duration.ofSeconds(4))), 0);
        engine.held = 1;
        keeper.want(digests(3), Duration.ofSeconds(4), plan);
        source.answers = false;
        report(Duration.ofMillis(200));
        source.answers = true;
        keeper.want(digests(2), Duration.ofSeconds(6), plan);
        report(Duration.ofSeconds(1));
        keeper.want(digests(3), Duration.ofSeconds(7), plan);
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(2L, 3L);
    }

    /** A newer version is named while the engine loads the one before: it must not wait for that one for ever. */
    @Test
    void goesOnToAVersionThatIsNamedDuringALoad() {
        engine.slow = true;
        keeper.want(digests(1), Duration.ZERO, LoadPlan.UNKNOWN);
        report(Duration.ofMillis(300));
        assertThat(engine.loaded).containsExactly(1L);
        keeper.want(digests(2), Duration.ZERO, new LoadPlan(List.of(new NamedVersion(2, Duration.ZERO)), 0));
        report(Duration.ofMillis(300));
        engine.finishLoad();
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(1L, 2L);
    }

    /** An engine drops an order without a word: it is given again. */
    @Test
    void givesAnOrderWithoutEffectAgain() {
        engine.dropNext = true;
        keeper.want(digests(1), Duration.ZERO, LoadPlan.UNKNOWN);
        report(Duration.ofSeconds(4));
        assertThat(engine.loaded).containsExactly(1L);
    }

    /** An entry that has not heard of the newest version yet does not bring an engine back. */
    @Test
    void leavesOutWordThatIsOlder() {
        keeper.want(digests(2), Duration.ZERO, new LoadPlan(List.of(new NamedVersion(2, Duration.ZERO)), 0));
        keeper.want(digests(1), Duration.ZERO, LoadPlan.UNKNOWN);
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(2L);
    }

    private void report(Duration over) {
        for (long passed = 0; passed < over.toMillis(); passed += 100) {
            keeper.reported(engine.state());
            timers.advance(Duration.ofMillis(100));
        }
    }

    private static WeightsDigests digests(long version) {
        return TestWeights.digests(version, CHUNKS);
    }

    private static final class FakeSource implements WeightsSource {
        private boolean answers = true;
        private int spoilNext;

        @Override
        public CompletionStage<WeightsDigests> manifest(WeightsVersion weights) {
            return CompletableFuture.completedFuture(digests(weights.version()));
        }

        @Override
        public CompletionStage<byte[]> chunk(WeightsVersion weights, int number) {
            if (!answers) {
                return new CompletableFuture<>();
            }
            if (spoilNext > 0) {
                spoilNext--;
                return CompletableFuture.completedFuture(new byte[] {1});
            }
            return CompletableFuture.completedFuture(TestWeights.chunk(weights.version(), number));
        }

        @Override
        public boolean isOrigin() {
            return false;
        }

        @Override
        public String name() {
            return "fake";
        }
    }

    private static final class FakeEngine implements EngineControl {
        private final Map<Integer, byte[]> staged = new HashMap<>();
        private final List<Long> loaded = new ArrayList<>();
        private Map<Integer, byte[]> stagedAtOrder = Map.of();
        private long held;
        private long orders;
        private long underWay;
        private boolean slow;
        private boolean dropNext;

        EngineReport state() {
            Optional<WeightsVersion> weights =
                    held == 0 ? Optional.empty() : Optional.of(new WeightsVersion("m", held));
            return new EngineReport(0, 0, 0, 1, 1, underWay > 0, orders, 7, 16, weights);
        }

        @Override
        public CompletionStage<EngineReport> report() {
            return CompletableFuture.completedFuture(state());
        }

        @Override
        public CompletionStage<Void> stage(String model, int number, byte[] content) {
            staged.put(number, content);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Optional<byte[]>> staged(String model, int number) {
            return CompletableFuture.completedFuture(Optional.ofNullable(staged.get(number)));
        }

        @Override
        public CompletionStage<OrderResult> load(WeightsVersion weights, long expectedOrders) {
            if (expectedOrders != orders) {
                return CompletableFuture.completedFuture(OrderResult.CONFLICT);
            }
            orders++;
            if (dropNext) {
                dropNext = false;
                return CompletableFuture.completedFuture(OrderResult.BEGUN);
            }
            loaded.add(weights.version());
            stagedAtOrder = Map.copyOf(staged);
            if (slow) {
                underWay = weights.version();
            } else {
                held = weights.version();
            }
            return CompletableFuture.completedFuture(OrderResult.BEGUN);
        }

        void finishLoad() {
            slow = false;
            held = underWay;
            underWay = 0;
        }
    }
}

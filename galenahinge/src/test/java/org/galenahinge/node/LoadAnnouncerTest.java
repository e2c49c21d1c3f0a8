package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.EngineWeightsController;
import org.galenahinge.supply.LoadSchedule;
import org.galenahinge.supply.WeightsDigests;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadAnnouncerTest {
    private static final byte[] CHUNK = {1, 2, 3};
    private static final WeightsVersion NEXT = new WeightsVersion("m", 2);

    private final ManualTimers timers = new ManualTimers();
    private final EntryRoster roster = new EntryRoster("near", 1);
    private final FakeEngine engine = new FakeEngine();
    private final EngineWeightsController keeper = EngineWeightsController.create(
            engine,
            failures -> Optional.empty(),
            Duration.ofSeconds(8),
            timers,
            EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry()),
            new MetricRegistry());
    private final Map<String, Integer> heard = new HashMap<>();
    private final Set<String> heardOfLoading = new HashSet<>();
    private final LoadAnnouncer announcer =
            LoadAnnouncer.create("near", new WireAddress("10.0.0.9", 80), roster, keeper, this::send, timers);

    /** The more entries, the less often each of the others hears, so that an engine's VM sends no more. */
    @ParameterizedTest
    @ValueSource(ints = {4, 16, 60})
    void tellsOnlySomeOfTheOthers(int others) {
        roster.update(cards(3, others));
        for (int report = 0; report < 40; report++) {
            announcer.reported(engine.state());
            timers.advance(Duration.ofMillis(100));
        }
        int far = heard.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("far"))
                .mapToInt(Map.Entry::getValue)
                .sum();
        assertThat(heard).containsEntry("near-0", 40);
        assertThat(far).isBetween(1, 10 * 16);
        int turns = 160 / Math.max(16, others);
        assertThat(heard.values()).allMatch(count -> count >= turns);
    }

    /** Whoever has not heard that an engine stops for loading still sends it requests, which wait until it is done. */
    @Test
    void tellsEveryEntryBeforeTheEngineIsOrderedToLoad() {
        roster.update(cards(3, 60));
        keeper.onBeforeLoad(announcer::tellAll);
        engine.onOrder = () -> assertThat(heardOfLoading).hasSize(63);
        keeper.setTarget(
                new WeightsDigests(
                        NEXT, List.of(Hashing.sha256().hashBytes(CHUNK).toString())),
                Duration.ZERO,
                LoadSchedule.UNKNOWN);
        for (int report = 0; report < 5; report++) {
            keeper.onReport(engine.state());
            announcer.reported(engine.state());
            timers.advance(Duration.ofMillis(100));
        }
        assertThat(engine.orders).isEqualTo(1);
    }

    private void send(NodeCard entry, byte[] datagram) {
        heard.merge(entry.name(), 1, Integer::sum);
        boolean loading =
                LoadCodec.read(ByteBuffer.wrap(datagram)).orElseThrow().report().loading();
        if (loading) {
            heardOfLoading.add(entry.name());
        }
    }

    private static List<NodeCard> cards(int near, int far) {
        List<NodeCard> cards = new ArrayList<>();
        for (int number = 0; number < near; number++) {
            cards.add(new NodeCard("near-" + number, "near", "10.0.0.1", 80, 81, 82));
        }
        for (int number = 0; number < far; number++) {
            cards.add(new NodeCard("far-" + number, "far-" + number % 3, "10.0.0.2", 80, 81, 82));
        }
        return cards;
    }

    /** An engine that holds the first version, with the next one staged. */
    private static final class FakeEngine implements EngineControl {
        private int orders;
        private Runnable onOrder = () -> {};

        EngineReport state() {
            return new EngineReport(0, 0, 0, 1, 1, orders > 0, orders, 7, 16, Optional.of(new WeightsVersion("m", 1)));
        }

        @Override
        public CompletionStage<EngineReport> report() {
            return CompletableFuture.completedFuture(state());
        }

        @Override
        public CompletionStage<Void> stage(String model, int number, byte[] content) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Optional<byte[]>> readStaged(String model, int number) {
            return CompletableFuture.completedFuture(Optional.of(CHUNK));
        }

        @Override
        public CompletionStage<LoadResult> load(WeightsVersion weights, long expectedOrders) {
            onOrder.run();
            orders++;
            return CompletableFuture.completedFuture(LoadResult.BEGUN);
        }
    }
}

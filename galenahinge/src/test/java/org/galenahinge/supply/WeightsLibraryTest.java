package org.galenahinge.supply;

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
import org.galenahinge.log.EventLog;
import org.galenahinge.upstream.WeightsVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WeightsLibraryTest {
    private static final int CHUNKS = 8;

    private final ManualTimers timers = new ManualTimers();
    private final FakeOrigin origin = new FakeOrigin();
    private final WeightsLibrary library = WeightsLibrary.create(
            new OneSource(),
            timers,
            EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry()),
            new MetricRegistry());

    /** Entries that restart one after the other, with all engines at their version: no chunk crosses any link. */
    @Test
    void bringsNoChunkThatNobodyAsksFor() {
        library.want(TestWeights.weights(1), timers.nanoTime());
        timers.advance(Duration.ofSeconds(5));
        assertThat(origin.sent).isEmpty();
        assertThat(library.offer("m")).isPresent();
    }

    @Test
    void bringsAllOnceOneIsAskedFor() {
        library.want(TestWeights.weights(1), timers.nanoTime());
        assertThat(ask(1, 3)).isPresent();
        timers.advance(Duration.ofSeconds(1));
        assertThat(origin.sent).hasSize(CHUNKS).doesNotHaveDuplicates();
    }

    /** An engine that asks while the manifest is still on its way gets its chunk afterwards. */
    @Test
    void remembersWhatIsAskedBeforeTheManifestComes() {
        origin.holdManifest = true;
        library.want(TestWeights.weights(1), timers.nanoTime());
        List<byte[]> got = new ArrayList<>();
        library.give(TestWeights.weights(1), 0, Duration.ofSeconds(1), chunk -> chunk.ifPresent(got::add));
        origin.releaseManifest(1);
        timers.advance(Duration.ofMillis(500));
        assertThat(got).hasSize(1);
    }

    /** The origin is away when a version is named: engines are offered the one before, once the new one is seen to stall. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void offersTheVersionBeforeWhileTheNewestStalls(boolean newestAskedFor) {
        library.want(TestWeights.weights(1), timers.nanoTime());
        library.want(TestWeights.weights(2), timers.nanoTime());
        origin.away = true;
        if (newestAskedFor) {
            ask(2, 0);
        }
        timers.advance(Duration.ofSeconds(1));
        assertThat(offered()).isEqualTo(newestAskedFor ? 1 : 2);
        origin.away = false;
        ask(2, 0);
        timers.advance(Duration.ofSeconds(2));
        assertThat(offered()).isEqualTo(2);
    }

    /** The origin is back after a while: whoever waits for weights hears at once that the newest comes along again. */
    @Test
    void tellsAtOnceThatAStalledVersionComesAlongAgain() {
        library.want(TestWeights.weights(1), timers.nanoTime());
        library.want(TestWeights.weights(2), timers.nanoTime());
        origin.away = true;
        ask(2, 0);
        timers.advance(Duration.ofSeconds(2));
        assertThat(offered()).isEqualTo(1);
        List<Long> told = new ArrayList<>();
        library.onChange(() -> told.add(offered()));
        origin.away = false;
        timers.advance(Duration.ofMillis(200));
        assertThat(told).contains(2L);
    }

    private long offered() {
        return library.offer("m").orElseThrow().digests().weights().version();
    }

    private Optional<byte[]> ask(long version, int number) {
        List<Optional<byte[]>> got = new ArrayList<>();
        library.give(TestWeights.weights(version), number, Duration.ofMillis(100), got::add);
        timers.advance(Duration.ofMillis(200));
        return got.get(0);
    }

    private static WeightsDigests digests(long version) {
        return TestWeights.digests(version, CHUNKS);
    }

    private final class OneSource implements WeightsLibrary.Sources {
        @Override
        public Optional<WeightsSource> manifestSource(String model, int failures) {
            return Optional.of(origin);
        }

        @Override
        public Optional<WeightsSource> chunkSource(String model, int failures) {
            return Optional.of(origin);
        }
    }

    private static final class FakeOrigin implements WeightsSource {
        private final List<String> sent = new ArrayList<>();
        private final CompletableFuture<WeightsDigests> held = new CompletableFuture<>();
        private boolean away;
        private boolean holdManifest;

        void releaseManifest(long version) {
            held.complete(digests(version));
        }

        @Override
        public CompletionStage<WeightsDigests> manifest(WeightsVersion weights) {
            return holdManifest ? held : CompletableFuture.completedFuture(digests(weights.version()));
        }

        @Override
        public CompletionStage<byte[]> chunk(WeightsVersion weights, int number) {
            if (away) {
                return CompletableFuture.failedFuture(new SupplyException("away"));
            }
            sent.add(weights.version() + "/" + number);
            return CompletableFuture.completedFuture(TestWeights.chunk(weights.version(), number));
        }

        @Override
        public boolean isOrigin() {
            return true;
        }

        @Override
        public String name() {
            return "origin";
        }
    }
}

package org.galenahinge.supply;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.upstream.WeightsVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WeightsCacheTest {
    private static final int CHUNKS = 8;

    private final ManualTimers timers = new ManualTimers();
    private final FakeOrigin origin = new FakeOrigin();
    private OptionalInt published = OptionalInt.of(CHUNKS);
    private final WeightsCache cache = WeightsCache.create(
            new OriginOnly(),
            timers,
            EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry()),
            new MetricRegistry());

    /** When entries restart one after the other and all engines are up to date, no chunk crosses any link. */
    @Test
    void readsNoChunksWithoutARequest() {
        cache.add(TestWeights.weights(1));
        timers.advance(Duration.ofSeconds(5));
        assertThat(origin.sentChunks).isEmpty();
        assertThat(cache.offer("m")).isPresent();
    }

    @Test
    void readsAllChunksAfterARequestForOne() {
        cache.add(TestWeights.weights(1));
        assertThat(requestChunk(1, 3)).isPresent();
        timers.advance(Duration.ofSeconds(1));
        assertThat(origin.sentChunks).hasSize(CHUNKS).doesNotHaveDuplicates();
    }

    /** A request for a chunk that arrives before the manifest gets its response once the chunk has been read. */
    @Test
    void respondsToRequestsThatArriveBeforeTheManifest() {
        origin.holdManifest = true;
        cache.add(TestWeights.weights(1));
        List<byte[]> received = new ArrayList<>();
        cache.requestChunk(TestWeights.weights(1), 0, Duration.ofSeconds(1), chunk -> chunk.ifPresent(received::add));
        origin.releaseManifest(1);
        timers.advance(Duration.ofMillis(500));
        assertThat(received).hasSize(1);
    }

    /**
     * The origin is unavailable when a version is named; once reading the new version stalls, the one before is
     * offered.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void offersThePreviousVersionWhileTheNewestIsStalled(boolean newestRequested) {
        cache.add(TestWeights.weights(1));
        cache.add(TestWeights.weights(2));
        origin.unavailable = true;
        if (newestRequested) {
            requestChunk(2, 0);
        }
        timers.advance(Duration.ofSeconds(1));
        assertThat(offered()).isEqualTo(newestRequested ? 1 : 2);
        origin.unavailable = false;
        requestChunk(2, 0);
        timers.advance(Duration.ofSeconds(2));
        assertThat(offered()).isEqualTo(2);
    }

    /**
     * When the origin is available again, the listener runs as soon as a chunk of the stalled version has been read.
     */
    @Test
    void notifiesAtOnceWhenAStalledVersionProgressesAgain() {
        cache.add(TestWeights.weights(1));
        cache.add(TestWeights.weights(2));
        origin.unavailable = true;
        requestChunk(2, 0);
        timers.advance(Duration.ofSeconds(2));
        assertThat(offered()).isEqualTo(1);
        List<Long> offers = new ArrayList<>();
        cache.onChange(() -> offers.add(offered()));
        origin.unavailable = false;
        timers.advance(Duration.ofMillis(200));
        assertThat(offers).contains(2L);
    }

    /**
     * Guards against a damaged digest that is kept for good, so that its version is never complete: the manifest is read
     * again, and digests that chunks have matched are kept when the next manifest is damaged elsewhere.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void readsADamagedManifestAgain(int damagedManifests) {
        origin.damagedManifests = damagedManifests;
        cache.add(TestWeights.weights(1));
        requestChunk(1, 0);
        timers.advance(Duration.ofSeconds(5));
        assertThat(cache.find(TestWeights.weights(1))).contains(digests(1));
        for (int number = 0; number < CHUNKS; number++) {
            assertThat(requestChunk(1, number)).contains(TestWeights.chunk(1, number));
        }
    }

    /** Guards against a manifest that lost or gained digests and is taken for that of the whole version. */
    @ParameterizedTest
    @ValueSource(ints = {1, CHUNKS - 1, CHUNKS + 1})
    void offersNoVersionWhoseManifestHasAnotherNumberOfChunks(int size) {
        origin.resizedManifests = 3;
        origin.resizedTo = size;
        cache.add(TestWeights.weights(1));
        for (int step = 0; step < 100; step++) {
            timers.advance(Duration.ofMillis(50));
            cache.offer("m").ifPresent(offered -> assertThat(offered).isEqualTo(digests(1)));
        }
        assertThat(cache.find(TestWeights.weights(1))).contains(digests(1));
        assertThat(requestChunk(1, CHUNKS - 1)).contains(TestWeights.chunk(1, CHUNKS - 1));
    }

    /** Guards against a number that is not published and read as any number, and against a belief that it takes back. */
    @Test
    void believesAManifestOnceTheNumberOfChunksIsPublished() {
        published = OptionalInt.empty();
        cache.add(TestWeights.weights(1));
        timers.advance(Duration.ofSeconds(5));
        assertThat(cache.find(TestWeights.weights(1))).isEmpty();
        published = OptionalInt.of(CHUNKS);
        timers.advance(Duration.ofSeconds(3));
        published = OptionalInt.of(CHUNKS + 1);
        timers.advance(Duration.ofSeconds(3));
        assertThat(cache.find(TestWeights.weights(1))).contains(digests(1));
    }

    private long offered() {
        return cache.offer("m").orElseThrow().weights().version();
    }

    private Optional<byte[]> requestChunk(long version, int number) {
        List<Optional<byte[]>> received = new ArrayList<>();
        cache.requestChunk(TestWeights.weights(version), number, Duration.ofMillis(100), received::add);
        timers.advance(Duration.ofMillis(200));
        return received.get(0);
    }

    private static WeightsDigests digests(long version) {
        return TestWeights.digests(version, CHUNKS);
    }

    private final class OriginOnly implements WeightsCache.Sources {
        @Override
        public Optional<WeightsSource> manifestSource(String model, int failures) {
            return Optional.of(origin);
        }

        @Override
        public Optional<WeightsSource> chunkSource(String model, int failures) {
            return Optional.of(origin);
        }

        @Override
        public OptionalInt chunks(String model) {
            return published;
        }
    }

    private static final class FakeOrigin implements WeightsSource {
        private final List<String> sentChunks = new ArrayList<>();
        private final CompletableFuture<WeightsDigests> heldManifest = new CompletableFuture<>();
        private boolean unavailable;
        private boolean holdManifest;
        private int damagedManifests;
        private int resizedManifests;
        private int resizedTo;

        void releaseManifest(long version) {
            heldManifest.complete(digests(version));
        }

        @Override
        public CompletionStage<WeightsDigests> manifest(WeightsVersion weights) {
            if (resizedManifests > 0) {
                resizedManifests--;
                return CompletableFuture.completedFuture(TestWeights.digests(weights.version(), resizedTo));
            }
            if (damagedManifests > 0) {
                damagedManifests--;
                return CompletableFuture.completedFuture(
                        TestWeights.damagedDigests(weights.version(), CHUNKS, damagedManifests % CHUNKS));
            }
            return holdManifest ? heldManifest : CompletableFuture.completedFuture(digests(weights.version()));
        }

        @Override
        public CompletionStage<byte[]> chunk(WeightsVersion weights, int number) {
            if (unavailable) {
                return CompletableFuture.failedFuture(new SupplyException("unavailable"));
            }
            sentChunks.add(weights.version() + "/" + number);
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

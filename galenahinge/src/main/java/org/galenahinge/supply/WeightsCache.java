package org.galenahinge.supply;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.concurrent.WaitList;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.upstream.WeightsVersion;

/**
 * Caches the weights that engines must load in an entry's memory, so that slot processes can read them within their
 * failure domain. As long as nothing fails, each chunk is read from the origin once and sent into a region once.
 *
 * <p>All chunks of a version are read after the first request for one of them, so that an entry that has just started
 * reads nothing that no engine needs.
 *
 * <p>A manifest is believed if it has as many digests as the operators publish for the model at that time; others are read
 * again, from another source. The belief outlasts changes of the published number, which concern later versions. It ends
 * when the same chunk does not match twice, see {@link ManifestDoubt}: another manifest, which has to meet the same
 * condition, then replaces the digests of the chunks that are not held.
 *
 * <p>Belongs to one thread.
 */
public final class WeightsCache {
    private static final int MAXIMUM_CONCURRENT_READS = 4;
    private static final int VERSIONS_KEPT_PER_MODEL = 2;
    private static final int MAXIMUM_WAITING_REQUESTS = 512;
    private static final Duration STALLED_AFTER = Duration.ofMillis(600);
    private static final Duration NO_SOURCE_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration BASE_BACKOFF = Duration.ofMillis(40);
    private static final int MAXIMUM_DOUBLINGS = 10;
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(150);

    /** A manifest that is refused again and again is not damaged on its way, and reading it costs as much as a chunk. */
    private static final Duration MAXIMUM_REFUSAL_BACKOFF = Duration.ofSeconds(2);

    private final Sources sources;
    private final Timers timers;
    private final EventLog log;
    private final Counter fromOrigin;
    private final Counter fromNodes;
    private final Counter corruptChunks;
    private final Counter refusedManifests;
    private final Map<String, TreeMap<Long, CachedVersion>> versionsByModel = new HashMap<>();
    private final WaitList<WaitingRequest> waiting;
    private Runnable changed = () -> {};

    /** Chooses the weights sources of a version. */
    public interface Sources {
        /**
         * Chooses the source of a manifest.
         *
         * @param model the model
         * @param failures the number of consecutive failed reads
         * @return the source, or empty if none is available
         */
        Optional<WeightsSource> manifestSource(String model, int failures);

        /**
         * Chooses the source of chunks.
         *
         * @param model the model
         * @param failures the number of consecutive failed reads
         * @return the source, or empty if none is available
         */
        Optional<WeightsSource> chunkSource(String model, int failures);

        /**
         * Returns the number of chunks that each version of a model has.
         *
         * @param model the model
         * @return the number, or empty if it is not known
         */
        OptionalInt chunks(String model);
    }

    private record WaitingRequest(WeightsVersion weights, int number, Consumer<Optional<byte[]>> reply) {}

    private static final class CachedVersion {
        private final WeightsVersion weights;
        private final long addedNanos;
        private Optional<VersionCopy> copy = Optional.empty();
        private final ManifestDoubt doubt = new ManifestDoubt();
        private boolean manifestRequested;
        private boolean chunksRequested;
        private boolean backingOff;
        private int readsInProgress;
        private int failures;
        private int refusals;
        private long lastProgressNanos;

        CachedVersion(WeightsVersion weights, long addedNanos) {
            this.weights = weights;
            this.addedNanos = addedNanos;
        }

        Optional<WeightsDigests> digests() {
            return copy.map(VersionCopy::digests);
        }
    }

    private WeightsCache(Sources sources, Timers timers, EventLog log, MetricRegistry metrics) {
        this.sources = sources;
        this.timers = timers;
        this.waiting = new WaitList<>(timers, MAXIMUM_WAITING_REQUESTS);
        this.log = log;
        this.fromOrigin = metrics.counter("weights.chunks.from_origin");
        this.fromNodes = metrics.counter("weights.chunks.from_nodes");
        this.corruptChunks = metrics.counter("weights.chunks.spoilt");
        this.refusedManifests = metrics.counter("weights.manifests.refused");
    }

    /**
     * Creates an empty cache.
     *
     * @param sources chooses the weights sources
     * @param timers the clock
     * @param log where reads and failures are logged
     * @param metrics where chunks are counted
     * @return the cache
     */
    public static WeightsCache create(Sources sources, Timers timers, EventLog log, MetricRegistry metrics) {
        return new WeightsCache(
                Objects.requireNonNull(sources, "sources"),
                Objects.requireNonNull(timers, "timers"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Sets the listener that runs when the result of {@link #offer} or {@link #find} may have changed.
     *
     * @param listener the listener
     */
    public void onChange(Runnable listener) {
        changed = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Adds a version and starts reading its manifest, unless it or a newer version of the model is cached already.
     *
     * @param weights the model and its version
     */
    public void add(WeightsVersion weights) {
        TreeMap<Long, CachedVersion> versions =
                versionsByModel.computeIfAbsent(weights.model(), model -> new TreeMap<>());
        if (versions.containsKey(weights.version())
                || (!versions.isEmpty() && versions.lastKey() > weights.version())) {
            return;
        }
        CachedVersion version = new CachedVersion(weights, timers.nanoTime());
        versions.put(weights.version(), version);
        while (versions.size() > VERSIONS_KEPT_PER_MODEL) {
            versions.pollFirstEntry();
        }
        readManifest(version);
    }

    /**
     * Returns the version of a model that engines should load now: the newest one that is complete or whose chunks are
     * being read without stalling, so that a failing source does not delay versions that are available. If there is
     * none, the newest one with a manifest.
     *
     * @param model the model
     * @return its digests, or empty if no manifest is known
     */
    public Optional<WeightsDigests> offer(String model) {
        TreeMap<Long, CachedVersion> versions = versionsByModel.getOrDefault(model, new TreeMap<>());
        for (CachedVersion version : versions.descendingMap().values()) {
            if (version.copy.isPresent() && (version.copy.get().isComplete() || isProgressing(version))) {
                return version.digests();
            }
        }
        return versions.values().stream()
                .flatMap(version -> version.digests().stream())
                .reduce((older, newer) -> newer);
    }

    /**
     * Finds a version.
     *
     * @param weights the model and its version
     * @return its digests, or empty if its manifest is not known
     */
    public Optional<WeightsDigests> find(WeightsVersion weights) {
        return findCached(weights).flatMap(CachedVersion::digests);
    }

    /** Tells whether a version is not stalled. One of which no chunk has been requested yet counts as available. */
    private boolean isProgressing(CachedVersion version) {
        return !version.chunksRequested || timers.nanoTime() - version.lastProgressNanos < STALLED_AFTER.toNanos();
    }

    /**
     * Requests a chunk. Replies without a chunk at once if the version is not cached or too many requests wait.
     *
     * @param weights the model and its version
     * @param number the chunk's number, from 0
     * @param wait the maximum time to wait for it
     * @param reply receives the chunk, or empty if it did not arrive in time
     */
    public void requestChunk(WeightsVersion weights, int number, Duration wait, Consumer<Optional<byte[]>> reply) {
        Optional<byte[]> held =
                findCached(weights).flatMap(version -> version.copy).flatMap(copy -> copy.chunk(number));
        if (held.isPresent() || waiting.isFull() || findCached(weights).isEmpty()) {
            reply.accept(held);
            return;
        }
        waiting.add(new WaitingRequest(weights, number, reply), wait, one -> reply.accept(Optional.empty()));
        startReadingOnFirstRequest(findCached(weights).get());
    }

    private void startReadingOnFirstRequest(CachedVersion version) {
        if (version.chunksRequested) {
            return;
        }
        version.chunksRequested = true;
        if (version.copy.isPresent()) {
            startReadingChunks(version);
        }
    }

    private void startReadingChunks(CachedVersion version) {
        version.lastProgressNanos = timers.nanoTime();
        timers.schedule(STALLED_AFTER, () -> watchProgress(version));
        readChunks(version);
    }

    private Optional<CachedVersion> findCached(WeightsVersion weights) {
        return Optional.ofNullable(versionsByModel.get(weights.model()))
                .map(versions -> versions.get(weights.version()));
    }

    private boolean isCached(CachedVersion version) {
        return findCached(version.weights).filter(found -> found == version).isPresent();
    }

    private void readManifest(CachedVersion version) {
        if (version.manifestRequested || !isCached(version)) {
            return;
        }
        Optional<WeightsSource> source = sources.manifestSource(version.weights.model(), version.failures);
        if (source.isEmpty()) {
            timers.schedule(NO_SOURCE_RETRY_DELAY, () -> readManifest(version));
            return;
        }
        version.manifestRequested = true;
        manifest(version, source.get()).whenComplete((digests, error) -> {
            version.manifestRequested = false;
            if (error != null) {
                recordFailure(version, source.get(), "manifest", error);
                timers.schedule(manifestBackoff(version), () -> readManifest(version));
                return;
            }
            version.failures = 0;
            version.copy = Optional.of(VersionCopy.of(digests));
            log.event(Category.BELIEF, "manifest_known")
                    .with("model", version.weights.model())
                    .with("version", version.weights.version())
                    .with("chunks", digests.size())
                    .with("source", source.get().name())
                    .write();
            changed.run();
            if (version.chunksRequested) {
                startReadingChunks(version);
            }
        });
    }

    /** Reads a manifest; fails if it does not have the digests of all chunks. */
    private CompletionStage<WeightsDigests> manifest(CachedVersion version, WeightsSource source) {
        return source.manifest(version.weights).thenApply(digests -> {
            OptionalInt published = sources.chunks(version.weights.model());
            if (published.isPresent() && published.getAsInt() == digests.size()) {
                version.refusals = 0;
                return digests;
            }
            version.refusals++;
            refusedManifests.inc();
            String expected = published.isPresent() ? String.valueOf(published.getAsInt()) : "no number of";
            throw new SupplyException(
                    "the manifest has " + digests.size() + " digests, published are " + expected + " chunks");
        });
    }

    /** Reads a manifest that may be damaged from the next source, and takes the digests for which no chunk speaks yet. */
    private void readManifestAgain(CachedVersion version) {
        Optional<WeightsSource> source = sources.manifestSource(version.weights.model(), version.doubt.timesRaised());
        if (version.manifestRequested || source.isEmpty()) {
            return;
        }
        version.manifestRequested = true;
        manifest(version, source.get()).whenComplete((digests, error) -> {
            version.manifestRequested = false;
            if (error != null) {
                recordFailure(version, source.get(), "manifest", error);
                return;
            }
            VersionCopy before = version.copy.orElseThrow();
            VersionCopy corrected = before.correctedBy(digests);
            if (corrected.digests().equals(before.digests())) {
                return;
            }
            version.copy = Optional.of(corrected);
            log.event(Category.BELIEF, "manifest_replaced")
                    .with("model", version.weights.model())
                    .with("version", version.weights.version())
                    .with("source", source.get().name())
                    .write();
            changed.run();
            readChunks(version);
        });
    }

    private void readChunks(CachedVersion version) {
        VersionCopy copy = version.copy.orElseThrow();
        while (isCached(version) && !version.backingOff && version.readsInProgress < MAXIMUM_CONCURRENT_READS) {
            Optional<WeightsSource> source = sources.chunkSource(version.weights.model(), version.failures);
            OptionalInt next = source.isEmpty() ? OptionalInt.empty() : copy.requestNext();
            if (next.isEmpty()) {
                break;
            }
            version.readsInProgress++;
            readChunk(version, source.get(), next.getAsInt());
        }
        if (version.readsInProgress == 0 && !version.backingOff && !copy.isComplete() && isCached(version)) {
            timers.schedule(NO_SOURCE_RETRY_DELAY, () -> readChunks(version));
        }
    }

    private void readChunk(CachedVersion version, WeightsSource source, int number) {
        source.chunk(version.weights, number).whenComplete((content, error) -> {
            version.readsInProgress--;
            VersionCopy copy = version.copy.orElseThrow();
            if (error == null && copy.put(number, content)) {
                boolean stalled = !isProgressing(version);
                version.failures = 0;
                version.backingOff = false;
                version.lastProgressNanos = timers.nanoTime();
                (source.isOrigin() ? fromOrigin : fromNodes).inc();
                replyToWaiting(version, number, content);
                if (copy.isComplete()) {
                    logComplete(version);
                }
                if (stalled || copy.isComplete()) {
                    changed.run();
                }
                readChunks(version);
                return;
            }
            copy.requestFailed(number);
            if (error == null) {
                corruptChunks.inc();
                recordFailure(version, source, "chunk " + number, new SupplyException("the digest does not match"));
                if (version.doubt.recordMismatch(number)) {
                    readManifestAgain(version);
                }
            } else {
                recordFailure(version, source, "chunk " + number, error);
            }
            version.backingOff = true;
            timers.schedule(backoff(version), () -> {
                version.backingOff = false;
                readChunks(version);
            });
        });
    }

    /**
     * Runs the listener when a version stalls, for slot processes that wait for an offer. {@code readChunk} runs it
     * when the version progresses again.
     */
    private void watchProgress(CachedVersion version) {
        if (!isCached(version) || version.copy.orElseThrow().isComplete()) {
            return;
        }
        if (!isProgressing(version)) {
            changed.run();
        }
        timers.schedule(STALLED_AFTER, () -> watchProgress(version));
    }

    private void replyToWaiting(CachedVersion version, int number, byte[] content) {
        waiting.removeReady(
                one -> one.number() == number && one.weights().equals(version.weights),
                one -> one.reply().accept(Optional.of(content)));
    }

    private void recordFailure(CachedVersion version, WeightsSource source, String what, Throwable error) {
        version.failures++;
        log.event(Category.FAILURE, "weights_missed")
                .with("model", version.weights.model())
                .with("version", version.weights.version())
                .with("what", what)
                .with("source", source.name())
                .with("failures", version.failures)
                .with("detail", String.valueOf(error.getMessage()))
                .write();
    }

    private void logComplete(CachedVersion version) {
        log.event(Category.BELIEF, "weights_whole")
                .with("model", version.weights.model())
                .with("version", version.weights.version())
                .with(
                        "after_ms",
                        Duration.ofNanos(timers.nanoTime() - version.addedNanos).toMillis())
                .write();
    }

    private static Duration backoff(CachedVersion version) {
        return backoff(version.failures, MAXIMUM_BACKOFF);
    }

    private static Duration manifestBackoff(CachedVersion version) {
        return version.refusals == 0 ? backoff(version) : backoff(version.refusals, MAXIMUM_REFUSAL_BACKOFF);
    }

    private static Duration backoff(int failures, Duration maximum) {
        long millis = BASE_BACKOFF.toMillis() << Math.min(failures, MAXIMUM_DOUBLINGS);
        return Duration.ofMillis(Math.min(millis, maximum.toMillis()));
    }
}

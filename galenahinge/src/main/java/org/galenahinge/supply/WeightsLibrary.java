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
import java.util.function.Consumer;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.concurrent.WaitList;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.upstream.WeightsVersion;

/**
 * Keeps the weights that engines are to hold in an entry's memory, so that slot processes find them within their failure
 * domain. Each chunk comes from the origin once and crosses into a region once, as long as nothing fails.
 *
 * <p>Chunks of a version are brought once somebody asks for one of them: an entry that has just started holds nothing
 * that no engine needs.
 *
 * <p>Belongs to one thread.
 */
public final class WeightsLibrary {
    private static final int READS_AT_ONCE = 4;
    private static final int VERSIONS_KEPT = 2;
    private static final int MOST_WAITING = 512;
    private static final Duration STALLED_AFTER = Duration.ofMillis(600);
    private static final Duration NO_SOURCE_RETRY = Duration.ofMillis(100);
    private static final Duration FIRST_RETRY = Duration.ofMillis(40);
    private static final Duration LONGEST_RETRY = Duration.ofMillis(150);

    private final Sources sources;
    private final Timers timers;
    private final EventLog log;
    private final Counter fromOrigin;
    private final Counter fromNodes;
    private final Counter spoilt;
    private final Map<String, TreeMap<Long, Shelf>> shelves = new HashMap<>();
    private final WaitList<Waiting> waiting;
    private Runnable changed = () -> {};

    /** Names where a version comes from. */
    public interface Sources {
        /**
         * Names a source for a manifest.
         *
         * @param model the model
         * @param failures how many reads in a row have failed
         * @return the source, or empty when there is none now
         */
        Optional<WeightsSource> manifestSource(String model, int failures);

        /**
         * Names a source for chunks.
         *
         * @param model the model
         * @param failures how many reads in a row have failed
         * @return the source, or empty when there is none now
         */
        Optional<WeightsSource> chunkSource(String model, int failures);
    }

    private record Waiting(WeightsVersion weights, int number, Consumer<Optional<byte[]>> reply) {}

    private static final class Shelf {
        private final WeightsVersion weights;
        private final long sinceNanos;
        private Optional<VersionCopy> copy = Optional.empty();
        private boolean manifestAsked;
        private boolean demanded;
        private boolean resting;
        private int reading;
        private int failures;
        private long progressNanos;

        Shelf(WeightsVersion weights, long sinceNanos) {
            this.weights = weights;
            this.sinceNanos = sinceNanos;
        }
    }

    private WeightsLibrary(Sources sources, Timers timers, EventLog log, MetricRegistry metrics) {
        this.sources = sources;
        this.timers = timers;
        this.waiting = new WaitList<>(timers, MOST_WAITING);
        this.log = log;
        this.fromOrigin = metrics.counter("weights.chunks.from_origin");
        this.fromNodes = metrics.counter("weights.chunks.from_nodes");
        this.spoilt = metrics.counter("weights.chunks.spoilt");
    }

    /**
     * Creates an empty library.
     *
     * @param sources names where versions come from
     * @param timers the clock
     * @param log where decisions are written
     * @param metrics where chunks are counted
     * @return the library
     */
    public static WeightsLibrary create(Sources sources, Timers timers, EventLog log, MetricRegistry metrics) {
        return new WeightsLibrary(
                Objects.requireNonNull(sources, "sources"),
                Objects.requireNonNull(timers, "timers"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Sets what runs when a version's manifest has come.
     *
     * @param listener the listener
     */
    public void onChange(Runnable listener) {
        changed = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Begins to bring a version, unless it is here or older than what is.
     *
     * @param weights the model and its version
     * @param sinceNanos when it was named
     */
    public void want(WeightsVersion weights, long sinceNanos) {
        TreeMap<Long, Shelf> versions = shelves.computeIfAbsent(weights.model(), model -> new TreeMap<>());
        if (versions.containsKey(weights.version())
                || (!versions.isEmpty() && versions.lastKey() > weights.version())) {
            return;
        }
        Shelf shelf = new Shelf(weights, sinceNanos);
        versions.put(weights.version(), shelf);
        while (versions.size() > VERSIONS_KEPT) {
            versions.pollFirstEntry();
        }
        readManifest(shelf);
    }

    /**
     * Returns the version of a model that engines should be brought to now: the newest one that is whole here or comes
     * along, or else an older one that is whole, so that a source which fails does not hold up what is there.
     *
     * @param model the model
     * @return its digests and age, or empty
     */
    public Optional<Offer> offer(String model) {
        TreeMap<Long, Shelf> versions = shelves.getOrDefault(model, new TreeMap<>());
        for (Shelf shelf : versions.descendingMap().values()) {
            if (shelf.copy.isPresent() && (shelf.copy.get().isWhole() || comesAlong(shelf))) {
                return Optional.of(offerOf(shelf));
            }
        }
        return versions.values().stream()
                .filter(shelf -> shelf.copy.isPresent())
                .reduce((older, newer) -> newer)
                .map(this::offerOf);
    }

    /**
     * Finds a version whose manifest is known.
     *
     * @param weights the model and its version
     * @return its digests and age, or empty
     */
    public Optional<Offer> find(WeightsVersion weights) {
        return shelf(weights).filter(shelf -> shelf.copy.isPresent()).map(this::offerOf);
    }

    /** A version of which nobody has asked a chunk yet may be had as well as any. */
    private boolean comesAlong(Shelf shelf) {
        return !shelf.demanded || timers.nanoTime() - shelf.progressNanos < STALLED_AFTER.toNanos();
    }

    private Offer offerOf(Shelf shelf) {
        Duration age = Duration.ofNanos(timers.nanoTime() - shelf.sinceNanos);
        return new Offer(shelf.copy.orElseThrow().digests(), age);
    }

    /**
     * What engines are to hold.
     *
     * @param digests the version's digests
     * @param age how long ago the version was named
     */
    public record Offer(WeightsDigests digests, Duration age) {}

    /**
     * Gives a chunk, when it is here.
     *
     * @param weights the model and its version
     * @param number the chunk's number, from 0
     * @param wait how long to wait for it
     * @param reply takes the chunk, or nothing when it did not come in time
     */
    public void give(WeightsVersion weights, int number, Duration wait, Consumer<Optional<byte[]>> reply) {
        Optional<byte[]> held = shelf(weights).flatMap(shelf -> shelf.copy).flatMap(copy -> copy.chunk(number));
        if (held.isPresent() || waiting.isFull() || shelf(weights).isEmpty()) {
            reply.accept(held);
            return;
        }
        waiting.add(new Waiting(weights, number, reply), wait, one -> reply.accept(Optional.empty()));
        demand(shelf(weights).get());
    }

    private void demand(Shelf shelf) {
        if (shelf.demanded) {
            return;
        }
        shelf.demanded = true;
        if (shelf.copy.isPresent()) {
            bring(shelf);
        }
    }

    private void bring(Shelf shelf) {
        shelf.progressNanos = timers.nanoTime();
        timers.schedule(STALLED_AFTER, () -> watchProgress(shelf));
        readChunks(shelf);
    }

    private Optional<Shelf> shelf(WeightsVersion weights) {
        return Optional.ofNullable(shelves.get(weights.model())).map(versions -> versions.get(weights.version()));
    }

    private boolean isWanted(Shelf shelf) {
        return shelf(shelf.weights).filter(found -> found == shelf).isPresent();
    }

    private void readManifest(Shelf shelf) {
        if (shelf.manifestAsked || !isWanted(shelf)) {
            return;
        }
        Optional<WeightsSource> source = sources.manifestSource(shelf.weights.model(), shelf.failures);
        if (source.isEmpty()) {
            timers.schedule(NO_SOURCE_RETRY, () -> readManifest(shelf));
            return;
        }
        shelf.manifestAsked = true;
        source.get().manifest(shelf.weights).whenComplete((digests, error) -> {
            shelf.manifestAsked = false;
            if (error != null) {
                missed(shelf, source.get(), "manifest", error);
                timers.schedule(backoff(shelf), () -> readManifest(shelf));
                return;
            }
            shelf.failures = 0;
            shelf.copy = Optional.of(VersionCopy.of(digests));
            log.event(Category.BELIEF, "manifest_known")
                    .with("model", shelf.weights.model())
                    .with("version", shelf.weights.version())
                    .with("chunks", digests.size())
                    .with("source", source.get().name())
                    .write();
            changed.run();
            if (shelf.demanded) {
                bring(shelf);
            }
        });
    }

    private void readChunks(Shelf shelf) {
        VersionCopy copy = shelf.copy.orElseThrow();
        while (isWanted(shelf) && !shelf.resting && shelf.reading < READS_AT_ONCE) {
            Optional<WeightsSource> source = sources.chunkSource(shelf.weights.model(), shelf.failures);
            OptionalInt next = source.isEmpty() ? OptionalInt.empty() : copy.askNext();
            if (next.isEmpty()) {
                break;
            }
            shelf.reading++;
            readChunk(shelf, copy, source.get(), next.getAsInt());
        }
        if (shelf.reading == 0 && !shelf.resting && !copy.isWhole() && isWanted(shelf)) {
            timers.schedule(NO_SOURCE_RETRY, () -> readChunks(shelf));
        }
    }

    private void readChunk(Shelf shelf, VersionCopy copy, WeightsSource source, int number) {
        source.chunk(shelf.weights, number).whenComplete((content, error) -> {
            shelf.reading--;
            if (error == null && copy.put(number, content)) {
                boolean stalled = !comesAlong(shelf);
                shelf.failures = 0;
                shelf.resting = false;
                shelf.progressNanos = timers.nanoTime();
                (source.isOrigin() ? fromOrigin : fromNodes).inc();
                arrived(shelf, number, content);
                if (copy.isWhole()) {
                    tellWhole(shelf);
                }
                if (stalled || copy.isWhole()) {
                    changed.run();
                }
                readChunks(shelf);
                return;
            }
            copy.missed(number);
            if (error == null) {
                spoilt.inc();
                missed(shelf, source, "chunk " + number, new SupplyException("the digest differs"));
            } else {
                missed(shelf, source, "chunk " + number, error);
            }
            shelf.resting = true;
            timers.schedule(backoff(shelf), () -> {
                shelf.resting = false;
                readChunks(shelf);
            });
        });
    }

    /** Those who wait for an offer are told when a version that came along no longer does, and when it does again. */
    private void watchProgress(Shelf shelf) {
        if (!isWanted(shelf) || shelf.copy.orElseThrow().isWhole()) {
            return;
        }
        if (!comesAlong(shelf)) {
            changed.run();
        }
        timers.schedule(STALLED_AFTER, () -> watchProgress(shelf));
    }

    private void arrived(Shelf shelf, int number, byte[] content) {
        waiting.removeReady(
                one -> one.number() == number && one.weights().equals(shelf.weights),
                one -> one.reply().accept(Optional.of(content)));
    }

    private void missed(Shelf shelf, WeightsSource source, String what, Throwable error) {
        shelf.failures++;
        log.event(Category.FAILURE, "weights_missed")
                .with("model", shelf.weights.model())
                .with("version", shelf.weights.version())
                .with("what", what)
                .with("source", source.name())
                .with("failures", shelf.failures)
                .with("detail", String.valueOf(error.getMessage()))
                .write();
    }

    private void tellWhole(Shelf shelf) {
        log.event(Category.BELIEF, "weights_whole")
                .with("model", shelf.weights.model())
                .with("version", shelf.weights.version())
                .with(
                        "after_ms",
                        Duration.ofNanos(timers.nanoTime() - shelf.sinceNanos).toMillis())
                .write();
    }

    private static Duration backoff(Shelf shelf) {
        long millis = FIRST_RETRY.toMillis() << Math.min(shelf.failures, 4);
        return Duration.ofMillis(Math.min(millis, LONGEST_RETRY.toMillis()));
    }
}

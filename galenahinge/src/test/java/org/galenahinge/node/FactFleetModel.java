package org.galenahinge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.facts.FactCursor;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactLog;
import org.galenahinge.facts.FactRank;
import org.galenahinge.facts.FactReadException;
import org.galenahinge.facts.FactReadException.Cause;
import org.galenahinge.facts.FactSource;
import org.galenahinge.facts.FactSynchronizer;
import org.galenahinge.facts.StorePosition;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.http.ResponseObserver;
import org.galenahinge.http.ResponseTimeout;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.ServiceRetryBudget;
import org.galenahinge.wire.WireAddress;

/**
 * Entries in three regions that share facts, in simulated time and without a network: the store is in the first region, and
 * each entry, and each pair of regions, has a link of little bandwidth.
 */
final class FactFleetModel {
    private static final int REGIONS = 3;
    private static final double STORE_MEGABITS = 1_000;
    private static final double ENTRY_MEGABITS = 28;
    private static final double REGION_MEGABITS = 17.5;
    private static final int WEIGHTS_CONNECTIONS = 3;
    private static final double NARROWED_BY = 36;
    private static final Duration DELAY = Duration.ofMillis(2);
    private static final Duration NEAR_STORE = Duration.ofNanos(300_000);
    private static final Duration FAR_FROM_STORE = Duration.ofNanos(3_700_000);
    private static final Duration STORE_TIME = Duration.ofMillis(4);
    private static final Duration MEMBERSHIP_DELAY = Duration.ofMillis(300);
    private static final Duration STORE_MARGIN = Duration.ofMillis(600);
    private static final Duration STORE_PAUSE = Duration.ofMillis(600);
    private static final Duration STORE_TRANSFER_TIME = Duration.ofSeconds(6);
    private static final Duration STORE_PAGE_TIME = Duration.ofMillis(1_500);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(10);
    private static final String CONFIGURATION = "configuration";
    private static final int STORE_ITEM_OVERHEAD = 120;
    private static final EventLog NO_LOG = EventLog.to("model", OutputStream.nullOutputStream(), new MetricRegistry());

    private final ManualTimers timers = new ManualTimers();
    private final SharedLinks network = new SharedLinks(timers);
    private final SharedLinks.Link storeLink = new SharedLinks.Link(STORE_MEGABITS);
    private final Map<List<Integer>, SharedLinks.Link> regionLinks = new HashMap<>();
    private final Random random;
    private final List<Entry> entries = new ArrayList<>();
    private final Map<WireAddress, Entry> byAddress = new HashMap<>();
    private final Set<NodeAddress> up = new HashSet<>();
    private final List<FactItem> history = new ArrayList<>();
    private final List<Runnable> storeWatches = new ArrayList<>();
    private final List<String> routes = new ArrayList<>();
    private final Map<Long, Long> publishedNanos = new LinkedHashMap<>();

    FactFleetModel(long seed) {
        random = new Random(seed);
        addRoutes(13);
        publish();
    }

    /** Starts entries, the same number in each region. */
    void start(int entriesOfRegion) {
        for (int number = 0; number < entriesOfRegion * REGIONS; number++) {
            Entry entry = new Entry(entries.size(), entries.size() % REGIONS);
            entries.add(entry);
            byAddress.put(entry.address.nodes(), entry);
            timers.schedule(Duration.ofMillis(random.nextInt(300)), entry::start);
        }
    }

    void addRoutes(int count) {
        for (int number = 0; number < count; number++) {
            routes.add(
                    "{\"name\":\"" + word(8) + "\",\"host\":\"" + word(5) + ".example\",\"prefix\":\"/" + word(6) + "/"
                            + word(4) + "/\",\"kind\":\"idempotent\",\"timeout_ms\":6000,\"target_latency_ms\":402,"
                            + "\"priority\":1,\"service\":\"" + word(6) + "\",\"max_attempts\":2,\"public\":false,"
                            + "\"sticky\":true,\"resumable\":true,\"target_gap_ms\":400}");
        }
    }

    /** Writes the next version of the configuration to the store, which acknowledges it at once; returns its size in bytes. */
    long publish() {
        long version = publishedNanos.size() + 1L;
        byte[] value = (version + "\n" + String.join(",", routes)).getBytes(StandardCharsets.UTF_8);
        history.add(FactItem.written(CONFIGURATION, value, new StorePosition(1, version))
                .withRank(FactRank.ofVersion(version)));
        publishedNanos.put(version, timers.nanoTime());
        List<Runnable> waiting = List.copyOf(storeWatches);
        storeWatches.clear();
        waiting.forEach(Runnable::run);
        return value.length;
    }

    /** Transfers weights between all regions from now on. */
    void transferWeights() {
        for (int from = 0; from < REGIONS; from++) {
            for (int to = 0; to < REGIONS; to++) {
                if (from != to) {
                    network.fill(regionLink(from, to), WEIGHTS_CONNECTIONS);
                }
            }
        }
    }

    /** Cuts off the entry that reads the store for all. */
    void cutWatcher() {
        cut(entries.get(0).roster.watcher().orElseThrow());
    }

    /** Cuts off all entries of the region of the store. */
    void cutRegionOfStore() {
        entries.stream().filter(entry -> entry.region == 0).forEach(entry -> cut(entry.address));
    }

    /** Cuts off the entry that the others of the last region read facts from. */
    void cutRelayOfLastRegion() {
        cut(entries.get(0).roster.relayOf(zone(REGIONS - 1)).orElseThrow());
    }

    /** Narrows the link of the entry that the others of the last region read facts from. */
    void narrowRelayOfLastRegion() {
        byAddress
                .get(entries.get(0)
                        .roster
                        .relayOf(zone(REGIONS - 1))
                        .orElseThrow()
                        .nodes())
                .narrow();
    }

    /** Narrows the link of the entry that reads the store for all. */
    void narrowWatcher() {
        byAddress.get(entries.get(0).roster.watcher().orElseThrow().nodes()).narrow();
    }

    private void cut(NodeAddress address) {
        byAddress.get(address.nodes()).isCut = true;
    }

    void advance(Duration time) {
        timers.advance(time);
    }

    /** Returns the bytes that went from one region to another. */
    long bytesBetweenRegions() {
        return regionLinks.values().stream()
                .mapToLong(SharedLinks.Link::carriedBytes)
                .sum();
    }

    /** Names each entry that takes callers and lacked a version later than a bound after it was published. */
    List<String> lateEntries(Duration bound) {
        List<String> late = new ArrayList<>();
        for (Entry entry : entries) {
            publishedNanos.forEach((version, published) -> {
                long due = Math.max(published + bound.toNanos(), entry.readyNanos);
                boolean isDue = entry.isReady && !entry.isCut && !entry.isNarrow && due <= timers.nanoTime();
                long held = entry.heldAt(version);
                if (isDue && held > due) {
                    late.add(entry.address.name() + " holds " + version + " "
                            + Duration.ofNanos(held - published).toMillis() + " ms after it");
                }
            });
        }
        return late;
    }

    private String word(int letters) {
        return random.ints(letters, 'a', 'z' + 1).mapToObj(Character::toString).collect(Collectors.joining());
    }

    private static String zone(int region) {
        return "zone-" + region;
    }

    private SharedLinks.Link regionLink(int from, int to) {
        return regionLinks.computeIfAbsent(List.of(from, to), pair -> new SharedLinks.Link(REGION_MEGABITS));
    }

    private List<SharedLinks.Link> path(SharedLinks.Link from, int fromRegion, Entry to) {
        return fromRegion == to.region
                ? List.of(from, to.incoming)
                : List.of(from, regionLink(fromRegion, to.region), to.incoming);
    }

    /** One read: it fails if its response does not go on in time. */
    private final class Read {
        private final CompletableFuture<FactSource.ReadResult> result = new CompletableFuture<>();
        private final ResponseTimeout.Deadline deadline;
        private final ResponseObserver observer;
        private Optional<SharedLinks.Transfer> transfer = Optional.empty();

        Read(ResponseTimeout timeout, ResponseObserver observer) {
            this.deadline = new ResponseTimeout.Deadline(timeout, timers.nanoTime());
            this.observer = observer;
            awaitUntilDeadline();
        }

        private void awaitUntilDeadline() {
            Duration remaining = deadline.remaining(timers.nanoTime());
            if (result.isDone()) {
                return;
            }
            if (remaining.isNegative() || remaining.isZero()) {
                fail(Cause.SILENT);
                return;
            }
            timers.schedule(remaining, this::awaitUntilDeadline);
        }

        private void bytesArrived() {
            deadline.bytesArrived(timers.nanoTime());
            observer.bytesArrived();
        }

        void fail(Cause cause) {
            transfer.ifPresent(SharedLinks.Transfer::cancel);
            result.completeExceptionally(new FactReadException(cause, "failed in the model"));
        }

        void respond(long bytes, List<SharedLinks.Link> path, FactSource.ReadResult response) {
            if (!result.isDone()) {
                transfer = Optional.of(network.begin(bytes, path, this::bytesArrived, () -> result.complete(response)));
            }
        }
    }

    /** One entry. */
    private final class Entry implements FactSource {
        private final int region;
        private final NodeAddress address;
        private final StoreDistances distances = new StoreDistances();
        private final EntryRoster roster;
        private final SharedLinks.Link incoming = new SharedLinks.Link(ENTRY_MEGABITS);
        private final SharedLinks.Link outgoing = new SharedLinks.Link(ENTRY_MEGABITS);
        private final FactSynchronizer synchronizer;
        private final FactRelay relay;
        private final Map<Long, Long> heldNanos = new HashMap<>();
        private boolean isReady;
        private boolean isCut;
        private boolean isNarrow;
        private long readyNanos = Long.MAX_VALUE;

        Entry(int number, int region) {
            this.region = region;
            address = new NodeAddress("entry-" + number, zone(region), "10." + region + ".0." + number, 1, 2, 3);
            roster = new EntryRoster(zone(region), distances, number);
            FactLog log = FactLog.create(number + 1L);
            NodeSettings settings = settings(address);
            FactPeers peers = new FactPeers(
                    address, () -> settings, roster, distances, () -> isReady, peer -> reader(peer), timers);
            synchronizer = FactSynchronizer.create(
                    this, peers, log, (items, age) -> taken(items), timers, NO_LOG, random.nextLong());
            relay = new FactRelay(log, synchronizer, timers, List::of, distances, new MetricRegistry());
            synchronizer.onRefresh(relay::onRefresh);
        }

        void start() {
            synchronizer.start();
            joinWhenReady();
        }

        void narrow() {
            incoming.narrow(NARROWED_BY);
            outgoing.narrow(NARROWED_BY);
            isNarrow = true;
        }

        long heldAt(long version) {
            return heldNanos.entrySet().stream()
                    .filter(held -> held.getKey() >= version)
                    .mapToLong(Map.Entry::getValue)
                    .min()
                    .orElse(Long.MAX_VALUE);
        }

        private void taken(List<FactItem> items) {
            items.forEach(
                    item -> heldNanos.putIfAbsent(item.rank().orElseThrow().stage(), timers.nanoTime()));
        }

        private void joinWhenReady() {
            if (heldNanos.isEmpty()) {
                timers.schedule(CHECK_INTERVAL, this::joinWhenReady);
                return;
            }
            isReady = true;
            readyNanos = timers.nanoTime();
            timers.schedule(MEMBERSHIP_DELAY, () -> {
                up.add(address);
                entries.forEach(entry -> entry.roster.update(up));
            });
        }

        private FactSource reader(WireAddress peer) {
            Entry source = byAddress.get(peer);
            return new FactSource() {
                @Override
                public CompletionStage<ReadResult> read(FactCursor after, Duration wait, ResponseObserver observer) {
                    return readFrom(source, new FactRelay.ReadRequest(after, wait), observer);
                }

                @Override
                public String name() {
                    return source.address.nodes().toString();
                }
            };
        }

        private CompletionStage<ReadResult> readFrom(
                Entry source, FactRelay.ReadRequest request, ResponseObserver observer) {
            Read read = new Read(PeerFactClient.timeout(request.maximumWait()), observer);
            timers.schedule(DELAY, () -> {
                if (!isCut && !source.isCut) {
                    source.distances.told(distances.all());
                    source.relay.read(request, document -> respond(read, source, document));
                }
            });
            return read.result;
        }

        private void respond(Read read, Entry source, HttpDocument document) {
            if (document.status() != 200) {
                read.fail(Cause.REFUSED);
                return;
            }
            try {
                FactReadingCodec.Reading reading = FactReadingCodec.decode(document.body());
                distances.told(reading.distances());
                read.respond(document.body().length, path(source.outgoing, source.region, this), reading.result());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Reads the store. */
        @Override
        public CompletionStage<ReadResult> read(FactCursor after, Duration wait, ResponseObserver observer) {
            boolean snapshot = !after.position().isKnown();
            Duration begin = snapshot ? STORE_PAGE_TIME : wait.plus(STORE_MARGIN);
            Read read = new Read(new ResponseTimeout(begin, STORE_PAUSE, begin.plus(STORE_TRANSFER_TIME)), observer);
            if (isCut) {
                return read.result;
            }
            observer.connected(region == 0 ? NEAR_STORE : FAR_FROM_STORE);
            timers.schedule(STORE_TIME, () -> {
                boolean mustWait = !snapshot && after.position().revision() == history.size();
                if (!mustWait) {
                    respondAsStore(read, after);
                    return;
                }
                Runnable respond = () -> respondAsStore(read, after);
                storeWatches.add(respond);
                timers.schedule(wait, () -> {
                    if (storeWatches.remove(respond)) {
                        respond.run();
                    }
                });
            });
            return read.result;
        }

        private void respondAsStore(Read read, FactCursor after) {
            boolean snapshot = !after.position().isKnown();
            int known = snapshot ? history.size() - 1 : (int) after.position().revision();
            List<FactItem> items = history.subList(known, history.size());
            long bytes = items.stream()
                    .mapToLong(item -> item.value().length * 4L / 3 + STORE_ITEM_OVERHEAD)
                    .sum();
            FactCursor cursor = FactCursor.at(new StorePosition(1, history.size()));
            read.respond(
                    bytes + STORE_ITEM_OVERHEAD,
                    path(storeLink, 0, this),
                    new ReadResult(items, snapshot, cursor, Duration.ZERO));
        }

        @Override
        public String name() {
            return "store";
        }
    }

    private static NodeSettings settings(NodeAddress address) {
        List<WireAddress> seeds = IntStream.range(0, REGIONS)
                .mapToObj(region -> new WireAddress("10." + region + ".0." + region, 2))
                .toList();
        Duration time = Duration.ofSeconds(8);
        return new NodeSettings(
                address.name(),
                address.address(),
                address.zone(),
                Map.of(),
                3,
                Optional.empty(),
                Optional.of(address.nodes()),
                seeds,
                Optional.empty(),
                new NodeSettings.Bounds(time, time, time, time),
                new ServiceRetryBudget.Limits(0.2, 1, time));
    }
}

package org.galenahinge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.AdmissionQueue;
import org.galenahinge.placement.Placement;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.PlacementDecision;
import org.galenahinge.placement.PlacementRequest;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.ServiceUpstreams;
import org.galenahinge.placement.UpstreamLoad;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.EngineWeightsController;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.WireAddress;

/**
 * A model of entries before engines, without a network: placement, load reports and queues are the real ones, joined as in
 * the gateway and the slot process. Engines may reject requests and name a time after which they want others.
 */
final class EngineFleetModel {
    private static final WeightsVersion WEIGHTS = new WeightsVersion("m", 1);
    private static final Duration STEP = Duration.ofMillis(2);
    private static final Duration NETWORK_DELAY = Duration.ofMillis(2);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    private static final Duration PREFILL_TIME = Duration.ofMillis(100);
    private static final Duration RUN_TIME = Duration.ofMillis(1_300);
    /** What a request that was sent before an engine named a time may need until the engine has received it. */
    private static final Duration UNDER_WAY = Duration.ofMillis(500);

    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(380);

    private final ManualTimers timers = new ManualTimers();
    private final Random random = new Random(11);
    private final Map<String, Engine> engines = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();
    private int slotsPerEngine;
    private int sent;
    private int overcommitted;
    private long idleSlotSteps;
    private long slotSteps;
    private int offered;
    private int served;
    private int lost;
    private int rejected;
    private int waitedInVain;

    EngineFleetModel(int entryCount, int engineCount, int slots, int domains) {
        slotsPerEngine = slots;
        List<NodeAddress> addresses = new ArrayList<>();
        for (int number = 0; number < entryCount; number++) {
            addresses.add(new NodeAddress("entry-" + number, "zone-" + number % domains, "10.0.0.1", 80, 81, 82));
        }
        for (int number = 0; number < engineCount; number++) {
            String id = "engine-" + number;
            engines.put(id, new Engine(id, "zone-" + number % domains, number, addresses));
        }
        addresses.forEach(address -> entries.add(new Entry(address, entryCount)));
    }

    /** Makes some engines reject all requests from now on and name a time, or accept them again if it is empty. */
    void reject(Predicate<Integer> numbers, Optional<Duration> retryAfter) {
        engines.values().stream()
                .filter(engine -> numbers.test(engine.number))
                .forEach(engine -> engine.retryAfter = retryAfter);
    }

    void setUp(int entry, boolean up) {
        entries.get(entry).up = up;
    }

    int inFlight(int entry) {
        return entries.get(entry).inFlight();
    }

    /** Returns the requests that were sent to an engine without a free slot, per request sent. */
    double overcommittedShare() {
        return (double) overcommitted / sent;
    }

    /** Returns the slots that were free while requests waited, as a share of all slots. */
    double idleShare() {
        return (double) idleSlotSteps / slotSteps;
    }

    /** Returns the requests that were served, per request that ended. */
    double servedShare() {
        return (double) served / (served + lost);
    }

    /** Returns the requests that had to wait although an engine that accepts requests had a free slot, per request. */
    double waitedInVainShare() {
        return (double) waitedInVain / offered;
    }

    /** Returns the most requests that reached an engine from one entry within one time in which it wanted none. */
    int mostWithinATime() {
        return engines.values().stream()
                .flatMap(engine -> engine.namedTimes.values().stream())
                .mapToInt(named -> named.most)
                .max()
                .orElse(0);
    }

    /** Returns how many times a request was rejected by an engine. */
    int rejected() {
        return rejected;
    }

    void resetCounts() {
        sent = 0;
        overcommitted = 0;
        idleSlotSteps = 0;
        slotSteps = 0;
        offered = 0;
        served = 0;
        lost = 0;
        rejected = 0;
        waitedInVain = 0;
    }

    /** Offers load as a multiple of what the engines can serve. */
    void run(Duration time, double load) {
        double perStep =
                load * engines.size() * slotsPerEngine / entries.size() * STEP.toMillis() / RUN_TIME.toMillis();
        long steps = time.dividedBy(STEP);
        for (long step = 0; step < steps; step++) {
            timers.advance(STEP);
            for (Entry entry : entries) {
                entry.expire();
                if (entry.up && random.nextDouble() < perStep) {
                    offered++;
                    entry.accept(new Request(timers.nanoTime() + MAXIMUM_WAIT.toNanos()));
                }
            }
            boolean waiting = entries.stream().anyMatch(entry -> entry.queue.size() > 0);
            for (Engine engine : engines.values()) {
                slotSteps += waiting ? slotsPerEngine : 0;
                idleSlotSteps += waiting ? Math.max(0, slotsPerEngine - engine.running) : 0;
            }
        }
    }

    private boolean hasFreeSlot() {
        return engines.values().stream()
                .anyMatch(engine -> engine.retryAfter.isEmpty() && engine.running < slotsPerEngine);
    }

    /** A request, compared by identity, with the engines that rejected it. */
    private static final class Request {
        private final Set<String> excluded = new HashSet<>();
        private final long waitEndNanos;

        Request(long waitEndNanos) {
            this.waitEndNanos = waitEndNanos;
        }
    }

    /** What an engine named to one entry, and what reached it from there since. */
    private static final class NamedTime {
        private long fromNanos;
        private long endNanos;
        private int arrived;
        private int most;

        void name(Duration time, long nowNanos) {
            if (nowNanos - endNanos >= 0) {
                fromNanos = nowNanos + UNDER_WAY.toNanos();
                arrived = 0;
            }
            endNanos = Math.max(endNanos, nowNanos + time.toNanos());
        }

        void arrive(long nowNanos) {
            if (nowNanos - fromNanos > 0 && nowNanos - endNanos < 0) {
                arrived++;
                most = Math.max(most, arrived);
            }
        }
    }

    /** An entry's placement, load table and queue, joined as in the gateway. */
    private final class Entry {
        private final Placement placement;
        private final AdmissionQueue<Request> queue = new AdmissionQueue<>(256);
        private final Map<String, PlacementCandidate> byId = new HashMap<>();
        private final ServiceUpstreams service;
        private boolean up = true;

        Entry(NodeAddress address, int entryCount) {
            this.placement = Placement.create(
                    address.zone(), () -> entryCount, address.name().hashCode());
            engines.values()
                    .forEach(engine -> byId.put(
                            engine.id, new PlacementCandidate(engine.upstream(), new UpstreamLoad(timers.nanoTime()))));
            EngineProfile figures = new EngineProfile(
                    slotsPerEngine, 317_000, 13.9, 0.0232, 0.0322, 13.8, 1.18, 2_048, 5, 16, 64, 32_768, List.of("m"));
            this.service = new ServiceUpstreams(List.copyOf(byId.values()), Optional.of(figures));
        }

        int inFlight() {
            return byId.values().stream()
                    .mapToInt(candidate -> candidate.load().ownInFlight())
                    .sum();
        }

        void accept(Request request) {
            if (!place(service.candidates(), request)) {
                waitedInVain += hasFreeSlot() ? 1 : 0;
                await(request);
            }
        }

        void expire() {
            lost += queue.removeExpired(timers.nanoTime()).size();
        }

        void receive(byte[] datagram, String engineId) {
            var report =
                    LoadCodec.decode(ByteBuffer.wrap(datagram)).orElseThrow().report();
            byId.get(engineId).load().recordReport(report, timers.nanoTime());
            serveWaitingAt(engineId);
        }

        void serveWaitingAt(String engineId) {
            long now = timers.nanoTime();
            List<PlacementCandidate> free = placement.withFreeSlot(service, List.of(byId.get(engineId)), now);
            if (!free.isEmpty()) {
                queue.dispatch(now, request -> place(free, request));
            }
        }

        private boolean place(List<PlacementCandidate> candidates, Request request) {
            PlacementRequest shape = new PlacementRequest(
                    Optional.of(new PromptShape("m", 800, 70)), request.excluded, OptionalLong.empty(), false);
            PlacementDecision decision = placement.choose(service, candidates, shape, timers.nanoTime());
            if (!(decision instanceof PlacementDecision.Chosen chosen)) {
                return false;
            }
            chosen.candidate().load().recordSent(request, 800, timers.nanoTime());
            String engineId = chosen.candidate().upstream().id();
            sent++;
            timers.schedule(NETWORK_DELAY, () -> engines.get(engineId).accept(this, request));
            return true;
        }

        private void await(Request request) {
            long end = request.waitEndNanos;
            if (end - timers.nanoTime() <= 0 || !queue.offer(request, 0, timers.nanoTime(), end, end)) {
                lost++;
            }
        }

        void receiveRejection(String engineId, Request request, Duration retryAfter) {
            UpstreamLoad load = byId.get(engineId).load();
            load.recordRetryAfter(retryAfter, random.nextDouble(), timers.nanoTime());
            load.recordRejection(request, timers.nanoTime());
            request.excluded.add(engineId);
            if (!place(service.candidates(), request)) {
                await(request);
            }
        }

        void receiveFirstEvent(String engineId, Request request) {
            byId.get(engineId).load().recordFirstEvent(request);
        }

        void receiveResponse(String engineId, Request request) {
            served++;
            byId.get(engineId).load().recordEnd(request, true, timers.nanoTime());
            serveWaitingAt(engineId);
        }
    }

    /** An engine whose slots each hold a request for the same time, and the announcer of its slot process. */
    private final class Engine implements EngineControl {
        private final String id;
        private final String zone;
        private final WireAddress address;
        private final LoadAnnouncer announcer;
        private final int number;
        private final Map<Entry, NamedTime> namedTimes = new HashMap<>();
        private Optional<Duration> retryAfter = Optional.empty();
        private final List<Runnable> waiting = new ArrayList<>();
        private int running;

        Engine(String id, String zone, int number, List<NodeAddress> addresses) {
            this.id = id;
            this.number = number;
            this.zone = zone;
            this.address = new WireAddress("10.1.0." + number, 80);
            EntryRoster roster = new EntryRoster(zone, number);
            roster.update(addresses);
            EventLog log = EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry());
            EngineWeightsController controller = EngineWeightsController.create(
                    this, failures -> Optional.empty(), Duration.ofSeconds(8), timers, log, new MetricRegistry());
            this.announcer = LoadAnnouncer.create(zone, address, roster, controller, this::send, timers);
            timers.schedule(Duration.ofMillis(random.nextInt((int) REPORT_INTERVAL.toMillis())), this::announce);
            log.close();
        }

        Upstream upstream() {
            return new Upstream(id, "s", address, zone, slotsPerEngine, false, Optional.of(WEIGHTS), 7, 1);
        }

        void accept(Entry entry, Request request) {
            Optional.ofNullable(namedTimes.get(entry)).ifPresent(named -> named.arrive(timers.nanoTime()));
            if (retryAfter.isPresent()) {
                Duration time = retryAfter.get();
                namedTimes.computeIfAbsent(entry, key -> new NamedTime()).name(time, timers.nanoTime());
                rejected++;
                timers.schedule(NETWORK_DELAY, () -> entry.receiveRejection(id, request, time));
                return;
            }
            Runnable begin = () -> {
                running++;
                if (!namedTimes.isEmpty()) {
                    Duration firstEvent = PREFILL_TIME.plus(NETWORK_DELAY);
                    timers.schedule(firstEvent, () -> entry.receiveFirstEvent(id, request));
                }
                timers.schedule(RUN_TIME, () -> {
                    running--;
                    timers.schedule(NETWORK_DELAY, () -> entry.receiveResponse(id, request));
                    if (!waiting.isEmpty()) {
                        waiting.remove(0).run();
                    }
                });
            };
            if (running < slotsPerEngine) {
                begin.run();
            } else {
                overcommitted++;
                waiting.add(begin);
            }
        }

        private void announce() {
            announcer.announce(state());
            timers.schedule(REPORT_INTERVAL, this::announce);
        }

        private void send(NodeAddress to, byte[] datagram) {
            Entry entry = entries.get(Integer.parseInt(to.name().substring("entry-".length())));
            timers.schedule(NETWORK_DELAY, () -> entry.receive(datagram, id));
        }

        private EngineReport state() {
            return new EngineReport(running, waiting.size(), 0, 1, 1, false, 0, 7, 16, Optional.of(WEIGHTS));
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
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletionStage<LoadResult> load(
                WeightsVersion weights, long expectedCommands, BooleanSupplier stillValid) {
            return CompletableFuture.completedFuture(LoadResult.REFUSED);
        }
    }
}

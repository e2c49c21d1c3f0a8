package org.galenahinge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
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
import java.util.stream.IntStream;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.AdmissionQueue;
import org.galenahinge.placement.EngineModel;
import org.galenahinge.placement.Placement;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.PlacementDecision;
import org.galenahinge.placement.PlacementRate;
import org.galenahinge.placement.PlacementRequest;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.PromptSizePolicy;
import org.galenahinge.placement.ServiceUpstreams;
import org.galenahinge.placement.UpstreamLoad;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.EngineWeightsController;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.WireAddress;

/**
 * A model of entries before engines that read prompts of different sizes in chunks between passes of decode steps, without a
 * network. Placement, load reports and queues are the real ones.
 */
final class PromptMixModel {
    private static final WeightsVersion WEIGHTS = new WeightsVersion("m", 1);
    private static final Duration NETWORK_DELAY = Duration.ofMillis(2);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
    private static final Duration SCAN_INTERVAL = Duration.ofMillis(20);
    private static final Duration MINIMUM_WAIT = Duration.ofMillis(60);
    private static final Duration TIME_TO_FIRST_EVENT = Duration.ofMillis(220);
    private static final int MAXIMUM_PROMPT = 3_880;
    private static final int LONG_PROMPT_MEANS = 3;
    private static final double SPREAD = 1.0;
    private static final int MEAN_OUTPUT = 105;
    private static final int SAMPLE = 20_000;
    private static final List<Kind> KINDS =
            List.of(new Kind(121, 1_290, 403), new Kind(145, 787, 402), new Kind(94, 607, 802));

    private final ManualTimers timers = new ManualTimers();
    private final Random random;
    private final double longShare;
    private final PromptSizePolicy policy;
    private final EngineProfile figures;
    private final EngineModel model;
    private final List<Engine> engines = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private final List<Request> requests = new ArrayList<>();
    private final int entryCount;
    private int overcommitted;

    PromptMixModel(
            int entryCount,
            int engineCount,
            EngineProfile figures,
            double longShare,
            PromptSizePolicy policy,
            long seed) {
        this.entryCount = entryCount;
        this.random = new Random(seed);
        this.longShare = longShare;
        this.policy = policy;
        this.figures = figures;
        this.model = EngineModel.of(figures);
        List<NodeAddress> addresses = new ArrayList<>();
        for (int number = 0; number < entryCount; number++) {
            addresses.add(new NodeAddress("entry-" + number, "zone-" + number % 3, "10.0.0.1", 80, 81, 82));
        }
        for (int number = 0; number < engineCount; number++) {
            engines.add(new Engine(number, addresses));
        }
        addresses.forEach(address -> entries.add(new Entry(address)));
        timers.schedule(SCAN_INTERVAL, this::scan);
    }

    /** A route's rate, its mean prompt in tokens and its target in milliseconds. */
    private record Kind(double rate, int meanPrompt, int targetMillis) {}

    /** A request, compared by identity. */
    static final class Request {
        private final PromptShape shape;
        private final long arrivedNanos;
        private final long onTimeNanos;
        private double firstEventMillis = Double.POSITIVE_INFINITY;
        private int unread;
        private int unwritten;
        private boolean waited;
        private Entry entry;

        Request(PromptShape shape, long arrivedNanos, long onTimeNanos) {
            this.shape = shape;
            this.arrivedNanos = arrivedNanos;
            this.onTimeNanos = onTimeNanos;
            this.unread = shape.promptTokens();
            this.unwritten = shape.outputTokens();
        }

        int prompt() {
            return shape.promptTokens();
        }

        boolean isServed() {
            return Double.isFinite(firstEventMillis);
        }

        boolean isOnTime() {
            return firstEventMillis * 1e6 <= onTimeNanos - arrivedNanos;
        }
    }

    /** The outcome for some of the requests; milliseconds to the first event of those that were served. */
    record Outcome(int count, double median, double p95, double p99, double onTime, double served, double waited) {}

    /** Offers a share of the capacity, which is the rate at which full batches would complete requests. */
    void run(Duration time, double load) {
        double rate = load * engines.size() * engineCapacity() / 1e9;
        long end = timers.nanoTime() + time.toNanos();
        while (timers.nanoTime() < end) {
            timers.advance(Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / rate)));
            Request request = draw();
            requests.add(request);
            entries.get(random.nextInt(entries.size())).accept(request);
        }
        timers.advance(Duration.ofSeconds(8));
    }

    /** Returns the requests that waited in an engine for a slot, as a share of all. */
    double overcommittedShare() {
        return (double) overcommitted / requests.size();
    }

    /** Returns the outcome of those whose prompts have between two ranks among all, as shares from 0 to 1. */
    Outcome outcome(double fromRank, double toRank) {
        int[] sizes = requests.stream().mapToInt(Request::prompt).sorted().toArray();
        int from = sizes[(int) (fromRank * (sizes.length - 1))];
        int to = toRank >= 1 ? Integer.MAX_VALUE : sizes[(int) (toRank * (sizes.length - 1))];
        return outcome(request -> request.prompt() >= from && request.prompt() < to);
    }

    private Outcome outcome(Predicate<Request> filter) {
        List<Request> selected = requests.stream().filter(filter).toList();
        double[] times = selected.stream()
                .filter(Request::isServed)
                .mapToDouble(request -> request.firstEventMillis)
                .sorted()
                .toArray();
        double count = Math.max(1, selected.size());
        return new Outcome(
                selected.size(),
                quantile(times, 0.5),
                quantile(times, 0.95),
                quantile(times, 0.99),
                selected.stream().filter(Request::isOnTime).count() / count,
                times.length / count,
                selected.stream().filter(request -> request.waited).count() / count);
    }

    private static double quantile(double[] sorted, double share) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) (share * (sorted.length - 1))];
    }

    /** Returns the requests per second that an engine completes with a full batch. */
    private double engineCapacity() {
        Random sample = new Random(1);
        double[] prompts = IntStream.range(0, SAMPLE)
                .mapToDouble(number -> drawPrompt(drawKind(sample), sample))
                .toArray();
        double prompt = IntStream.range(0, SAMPLE).mapToDouble(n -> prompts[n]).sum() / SAMPLE;
        double prefill = IntStream.range(0, SAMPLE)
                        .mapToDouble(n -> model.prefillMillis(prompts[n]))
                        .sum()
                / SAMPLE;
        double step = model.stepMillis(figures.slots(), figures.slots() * (prompt + MEAN_OUTPUT / 2.0));
        return 1_000 / (prefill + MEAN_OUTPUT * step / figures.slots());
    }

    private Request draw() {
        Kind kind = drawKind(random);
        int prompt = drawPrompt(kind, random);
        int output = 1 + (int) (MEAN_OUTPUT * (0.5 + random.nextDouble()));
        long now = timers.nanoTime();
        return new Request(new PromptShape("m", prompt, output), now, now + kind.targetMillis() * 1_000_000L);
    }

    private static Kind drawKind(Random random) {
        double left =
                random.nextDouble() * KINDS.stream().mapToDouble(Kind::rate).sum();
        for (Kind kind : KINDS) {
            left -= kind.rate();
            if (left < 0) {
                return kind;
            }
        }
        return KINDS.get(0);
    }

    private int drawPrompt(Kind kind, Random random) {
        double drawn = kind.meanPrompt() * Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
        boolean isLong = random.nextDouble() < longShare;
        return (int) Math.max(1, Math.min(MAXIMUM_PROMPT, isLong ? LONG_PROMPT_MEANS * kind.meanPrompt() : drawn));
    }

    private void scan() {
        entries.forEach(Entry::scan);
        timers.schedule(SCAN_INTERVAL, this::scan);
    }

    /** An entry's placement, load table and queue, joined as in the gateway. */
    private final class Entry {
        private final Placement placement;
        private final AdmissionQueue<Request> queue = new AdmissionQueue<>(256);
        private final Map<String, PlacementCandidate> byId = new HashMap<>();
        private final ServiceUpstreams service;
        private final PlacementRate rate = new PlacementRate(timers.nanoTime());

        Entry(NodeAddress address) {
            this.placement = Placement.create(
                    address.zone(), () -> entryCount, address.name().hashCode());
            engines.forEach(engine -> byId.put(
                    engine.id, new PlacementCandidate(engine.upstream(), new UpstreamLoad(timers.nanoTime()))));
            this.service = new ServiceUpstreams(List.copyOf(byId.values()), Optional.of(figures), policy);
        }

        void accept(Request request) {
            request.entry = this;
            if (place(service.candidates(), request)) {
                return;
            }
            request.waited = true;
            long end = Math.max(
                    request.arrivedNanos + MINIMUM_WAIT.toNanos(),
                    request.onTimeNanos
                            - policy.slotWaitMargin(request.shape, TIME_TO_FIRST_EVENT)
                                    .toNanos());
            long now = timers.nanoTime();
            int ahead = queue.sizeAhead(request.onTimeNanos, now);
            if (!rate.canPlaceInTime(ahead, Duration.ofNanos(Math.max(0, end - now)), now)) {
                return;
            }
            queue.offer(request, 0, policy.queueOrderNanos(request.arrivedNanos, end), request.onTimeNanos, end);
        }

        void scan() {
            long now = timers.nanoTime();
            serveWaiting(service.candidates());
            queue.removeExpired(now);
        }

        void receive(byte[] datagram, String engineId) {
            var report =
                    LoadCodec.decode(ByteBuffer.wrap(datagram)).orElseThrow().report();
            byId.get(engineId).load().recordReport(report, timers.nanoTime());
            serveWaiting(List.of(byId.get(engineId)));
        }

        private void serveWaiting(List<PlacementCandidate> offered) {
            long now = timers.nanoTime();
            List<PlacementCandidate> free = placement.withFreeSlot(service, offered, now);
            if (!free.isEmpty()) {
                queue.dispatch(now, request -> place(free, request));
            }
        }

        private boolean place(List<PlacementCandidate> candidates, Request request) {
            PlacementRequest shape =
                    new PlacementRequest(Optional.of(request.shape), Set.of(), OptionalLong.empty(), false);
            PlacementDecision decision = placement.choose(service, candidates, shape, timers.nanoTime());
            if (!(decision instanceof PlacementDecision.Chosen chosen)) {
                return false;
            }
            rate.recordPlaced(timers.nanoTime());
            chosen.candidate().load().recordSent(request, request.prompt(), timers.nanoTime());
            Engine engine = engines.get(
                    Integer.parseInt(chosen.candidate().upstream().id().substring("engine-".length())));
            timers.schedule(NETWORK_DELAY, () -> engine.accept(request));
            return true;
        }

        void receiveFirstEvent(String engineId, Request request) {
            request.firstEventMillis = (timers.nanoTime() - request.arrivedNanos) / 1e6;
            byId.get(engineId).load().recordFirstEvent(request);
        }

        void receiveResponse(String engineId, Request request) {
            byId.get(engineId).load().recordEnd(request, true, timers.nanoTime());
            serveWaiting(List.of(byId.get(engineId)));
        }
    }

    /** An engine that reads one chunk and then runs one pass of decode steps, and the announcer of its slot process. */
    private final class Engine implements EngineControl {
        private final String id;
        private final int number;
        private final LoadAnnouncer announcer;
        private final WireAddress address;
        private final Deque<Request> waiting = new ArrayDeque<>();
        private final Deque<Request> reading = new ArrayDeque<>();
        private final List<Request> writing = new ArrayList<>();
        private boolean busy;

        Engine(int number, List<NodeAddress> addresses) {
            this.id = "engine-" + number;
            this.number = number;
            this.address = new WireAddress("10.1.0." + number, 80);
            EntryRoster roster = new EntryRoster("zone-" + number % 3, number);
            roster.update(addresses);
            EventLog log = EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry());
            EngineWeightsController controller = EngineWeightsController.create(
                    this, failures -> Optional.empty(), Duration.ofSeconds(8), timers, log, new MetricRegistry());
            this.announcer =
                    LoadAnnouncer.create("zone-" + number % 3, address, roster, controller, this::send, timers);
            timers.schedule(Duration.ofMillis(random.nextInt((int) REPORT_INTERVAL.toMillis())), this::announce);
            log.close();
        }

        Upstream upstream() {
            return new Upstream(
                    id, "s", address, "zone-" + number % 3, figures.slots(), false, Optional.of(WEIGHTS), 7, 1);
        }

        void accept(Request request) {
            waiting.add(request);
            admit();
            overcommitted += waiting.isEmpty() ? 0 : 1;
            if (!busy) {
                readChunk();
            }
        }

        private int running() {
            return reading.size() + writing.size();
        }

        private void admit() {
            while (running() < figures.slots() && !waiting.isEmpty()) {
                reading.add(waiting.poll());
            }
        }

        private void readChunk() {
            busy = running() > 0;
            int left = figures.prefillChunkTokens();
            double millis = 0;
            List<Request> read = new ArrayList<>();
            while (left > 0 && !reading.isEmpty()) {
                Request request = reading.peek();
                int before = request.prompt() - request.unread;
                int tokens = Math.min(left, request.unread);
                millis += model.prefillMillis(before + tokens) - model.prefillMillis(before);
                request.unread -= tokens;
                left -= tokens;
                if (request.unread == 0) {
                    read.add(reading.poll());
                }
            }
            writing.addAll(read);
            if (busy) {
                after(millis, () -> step(figures.decodeStepsPerPass()));
            }
        }

        private void step(int stepsLeft) {
            if (stepsLeft == 0 || writing.isEmpty()) {
                readChunk();
                return;
            }
            after(model.stepMillis(writing.size(), context()), () -> {
                List.copyOf(writing).forEach(this::write);
                admit();
                step(stepsLeft - 1);
            });
        }

        private void write(Request request) {
            if (request.unwritten-- == request.shape.outputTokens()) {
                timers.schedule(NETWORK_DELAY, () -> request.entry.receiveFirstEvent(id, request));
            }
            if (request.unwritten <= 0) {
                writing.remove(request);
                timers.schedule(NETWORK_DELAY, () -> request.entry.receiveResponse(id, request));
            }
        }

        private double context() {
            return writing.stream()
                    .mapToDouble(request -> request.shape.totalTokens() - request.unwritten)
                    .sum();
        }

        private void after(double millis, Runnable action) {
            timers.schedule(Duration.ofNanos((long) (millis * 1e6)), action);
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
            return new EngineReport(
                    running(), waiting.size(), (long) context(), 1, 1, false, 0, 7, 16, Optional.of(WEIGHTS));
        }

        @Override
        public CompletionStage<EngineReport> report() {
            return CompletableFuture.completedFuture(state());
        }

        @Override
        public CompletionStage<Void> stage(String name, int chunk, byte[] content) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Optional<byte[]>> readStaged(String name, int chunk) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletionStage<LoadResult> load(
                WeightsVersion weights, long expectedCommands, BooleanSupplier stillValid) {
            return CompletableFuture.completedFuture(LoadResult.REFUSED);
        }
    }
}

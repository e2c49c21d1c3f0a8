package org.galenahinge.slot;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.limit.TokenBucket;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.membership.Vm;
import org.galenahinge.slot.WeightsEvent.PullOutcome;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.weights.ChunkCache;
import org.galenahinge.weights.ChunkCache.AddResult;
import org.galenahinge.weights.Manifest.Chunk;
import org.galenahinge.weights.PullLimits;
import org.galenahinge.weights.PullPlan;
import org.galenahinge.weights.PullPlan.Member;
import org.galenahinge.weights.PullPlan.Pull;
import org.galenahinge.weights.WeightsManifest;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.Possession;

/**
 * Fetches a complete, verified copy of the wanted weights into memory. All events are handled on one thread.
 *
 * <p>When the wanted weights change, the old copy is abandoned at once; chunks that both versions share stay cached.
 */
final class WeightsController implements AutoCloseable {
    private static final int EVENT_QUEUE_CAPACITY = 4_096;
    private static final int MAXIMUM_SUBSCRIBERS = 256;
    private static final Duration MINIMUM_TICK_INTERVAL = Duration.ofMillis(20);
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofSeconds(10);
    private static final long SUBSCRIBE_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** The executor reports the end of a subscription; this timeout only covers a lost report. */
    private static final long SUBSCRIPTION_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);

    private static final long MANIFEST_RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** A VM's share of the region's budget is at least an even share divided by this number. */
    private static final long MINIMUM_SHARE_DIVISOR = 10;

    private static final double BURST_SECONDS = 0.05;

    private final Vm self;
    private final ChunkCache cache;
    private final PullLimits limits;
    private final PullExecutor executor;
    private final DecisionLog decisions;
    private final Consumer<WeightsManifest> completed;
    private final Controller<WeightsEvent> controller;
    private final Counter originBytes;
    private final Counter peerBytes;
    private final Counter crossRegionBytes;
    private final Counter corruptChunks;
    private final Map<String, Long> subscribeNotBefore = new HashMap<>();
    private final List<Subscriber> subscribers = new ArrayList<>();
    private Optional<Assignment> assignment = Optional.empty();
    private Optional<Download> download = Optional.empty();
    private TokenBucket linkBudget;
    private long manifestRetryNanos;
    private boolean possessionChanged;
    private volatile double regionShare = 1;
    private volatile Progress progress = Progress.NONE;

    private WeightsController(
            Vm self,
            ChunkCache cache,
            PullLimits limits,
            long linkBytesPerSecond,
            Function<WeightsController, PullExecutor> executor,
            DecisionLog decisions,
            Consumer<WeightsManifest> completed,
            MetricRegistry metrics) {
        this.self = self;
        this.cache = cache;
        this.limits = limits;
        this.linkBudget = TokenBucket.full(
                (double) linkBytesPerSecond, Math.max(1, linkBytesPerSecond * BURST_SECONDS), System.nanoTime());
        this.decisions = decisions;
        this.completed = completed;
        this.originBytes = metrics.counter("weights.origin.bytes");
        this.peerBytes = metrics.counter("weights.peer.bytes");
        this.crossRegionBytes = metrics.counter("weights.cross-region.bytes");
        this.corruptChunks = metrics.counter("weights.chunks.corrupt");
        this.executor = executor.apply(this);
        this.controller =
                Controller.start("weights", EVENT_QUEUE_CAPACITY, MINIMUM_TICK_INTERVAL, this::handle, this::tick);
    }

    static WeightsController start(
            Vm self,
            ChunkCache cache,
            PullLimits limits,
            long linkBytesPerSecond,
            Function<WeightsController, PullExecutor> executor,
            DecisionLog decisions,
            Consumer<WeightsManifest> completed,
            MetricRegistry metrics) {
        return new WeightsController(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(cache, "cache"),
                limits,
                linkBytesPerSecond,
                executor,
                decisions,
                completed,
                metrics);
    }

    boolean offer(WeightsEvent event) {
        return controller.offer(event);
    }

    /** The share of this region's bandwidth budget to other regions that this VM may use, from 0 to 1. */
    double regionShare() {
        return regionShare;
    }

    Progress progress() {
        return progress;
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(WeightsEvent event) {
        if (event instanceof WeightsEvent.PullEnded ended) {
            handlePullEnded(ended);
        } else if (event instanceof WeightsEvent.PossessionReceived possession) {
            downloadOf(possession.weightsKey())
                    .ifPresent(active -> active.plan().setNeighbourChunks(possession.vm(), possession.chunks()));
        } else if (event instanceof WeightsEvent.NeighbourConnectionLost lost) {
            subscribeNotBefore.put(lost.vm(), System.nanoTime() + SUBSCRIBE_RETRY_DELAY_NANOS);
            downloadOf(lost.weightsKey())
                    .ifPresent(active -> active.plan().recordUnreachable(lost.vm(), System.nanoTime()));
        } else if (event instanceof WeightsEvent.PossessionRequested requested) {
            addSubscriber(requested);
        } else if (event instanceof WeightsEvent.AssignmentChanged changed) {
            changeAssignment(changed.assignment());
        } else if (event instanceof WeightsEvent.ManifestRead read) {
            handleManifestRead(read);
        }
    }

    private Duration tick() {
        long now = System.nanoTime();
        if (download.isEmpty() && wantedModel().isPresent() && now - manifestRetryNanos >= 0) {
            readManifest(now);
        }
        download.ifPresent(active -> {
            subscribeToNeighbours(active, now);
            startPulls(active, now);
        });
        if (possessionChanged) {
            possessionChanged = false;
            subscribers.removeIf(subscriber -> !sendPossession(subscriber));
        }
        boolean incomplete = wantedModel().isPresent()
                && !download.map(active -> active.plan().isComplete()).orElse(false);
        return incomplete ? MINIMUM_TICK_INTERVAL : IDLE_TICK_INTERVAL;
    }

    private void changeAssignment(Optional<Assignment> next) {
        String before = wantedModel().map(ModelWorkload::weightsKey).orElse("");
        assignment = next;
        String now = wantedModel().map(ModelWorkload::weightsKey).orElse("");
        if (!before.equals(now)) {
            download = Optional.empty();
            subscribeNotBefore.clear();
            subscribers.removeIf(subscriber -> !subscriber.weightsKey().equals(now));
            manifestRetryNanos = System.nanoTime();
            progress = new Progress(now, 0, 0);
            return;
        }
        download.ifPresent(active -> {
            active.plan().setMembers(members());
            updateRegionShare(active.plan());
        });
    }

    /** The share is never 0: a VM that fetches no chunks from the origin may have to replace another that does. */
    private void updateRegionShare(PullPlan plan) {
        long members = members().stream()
                .filter(member -> member.region().equals(self.region()))
                .count();
        regionShare = Math.max(plan.shareOfOriginChunks(), 1.0 / (MINIMUM_SHARE_DIVISOR * members));
    }

    private void readManifest(long now) {
        manifestRetryNanos = now + MANIFEST_RETRY_DELAY_NANOS;
        executor.readManifest(wantedModel().orElseThrow());
    }

    private void handleManifestRead(WeightsEvent.ManifestRead read) {
        String wanted = wantedModel().map(ModelWorkload::weightsKey).orElse("");
        if (download.isPresent()
                || read.manifest().isEmpty()
                || !read.weightsKey().equals(wanted)) {
            return;
        }
        WeightsManifest manifest = read.manifest().get();
        cache.retainAll(hashesOf(manifest));
        long now = System.nanoTime();
        List<String> hashes =
                manifest.distinctChunks().stream().map(Chunk::hash).toList();
        PullPlan plan = PullPlan.create(self.name(), hashes, limits, self.name().hashCode() ^ now, now);
        plan.setMembers(members());
        for (int chunk = 0; chunk < hashes.size(); chunk++) {
            if (cache.contains(hashes.get(chunk))) {
                plan.recordHeld(chunk, now);
            }
        }
        download = Optional.of(new Download(manifest, plan));
        updateRegionShare(plan);
        possessionChanged = true;
        decisions.record(
                manifest.key(),
                "place",
                plan.neighbours(),
                self.name(),
                plan.heldChunks().cardinality() + " of " + hashes.size() + " chunks are held already");
        publishProgress();
    }

    private void subscribeToNeighbours(Download active, long now) {
        if (active.plan().isComplete()) {
            return;
        }
        for (String vm : active.plan().neighbours()) {
            Long notBefore = subscribeNotBefore.get(vm);
            if (notBefore == null || now - notBefore > 0) {
                subscribeNotBefore.put(vm, now + SUBSCRIPTION_TIMEOUT_NANOS);
                peer(vm).ifPresent(peer ->
                        executor.subscribe(peer, active.manifest().key()));
            }
        }
    }

    private void startPulls(Download active, long now) {
        if (!linkBudget.hasTokens(now)) {
            return;
        }
        for (Pull pull : active.plan().nextPulls(now)) {
            Chunk chunk = active.manifest().distinctChunks().get(pull.chunk());
            Optional<Peer> peer =
                    pull.source() instanceof PullPlan.Source.Peer source ? peer(source.vm()) : Optional.empty();
            executor.pull(active.manifest().key(), pull, chunk, peer);
        }
    }

    private void handlePullEnded(WeightsEvent.PullEnded event) {
        Optional<Download> active = downloadOf(event.weightsKey());
        if (active.isEmpty()) {
            return;
        }
        PullPlan plan = active.get().plan();
        long now = System.nanoTime();
        PullOutcome outcome = event.outcome();
        if (outcome instanceof PullOutcome.Received received) {
            addToCache(active.get(), event.pull(), bytesOf(received.content()), now);
        } else if (outcome instanceof PullOutcome.Busy) {
            plan.recordBusy(event.pull(), now);
        } else {
            recordPullFailure(plan, event.pull(), outcome, now);
        }
        startPulls(active.get(), now);
    }

    private static byte[] bytesOf(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        return bytes;
    }

    private static void recordPullFailure(PullPlan plan, Pull pull, PullOutcome outcome, long now) {
        if (outcome instanceof PullOutcome.Unreachable && pull.source() instanceof PullPlan.Source.Peer peer) {
            plan.recordUnreachable(peer.vm(), now);
        }
        plan.recordFailure(pull, now);
    }

    private void addToCache(Download active, Pull pull, byte[] content, long now) {
        Chunk chunk = active.manifest().distinctChunks().get(pull.chunk());
        AddResult added = cache.add(chunk, content);
        if (added == AddResult.CORRUPT || added == AddResult.CACHE_FULL) {
            corruptChunks.inc(added == AddResult.CORRUPT ? 1 : 0);
            decisions.record(
                    active.manifest().key(),
                    "refuse-chunk",
                    List.of(chunk.hash()),
                    pull.source().label(),
                    added == AddResult.CORRUPT ? "its content does not match its hash" : "the chunk cache is full");
            active.plan().recordFailure(pull, now);
            return;
        }
        boolean fromOrigin = pull.source() instanceof PullPlan.Source.Origin;
        (fromOrigin ? originBytes : peerBytes).inc(content.length);
        linkBudget = linkBudget.spend(content.length, now);
        if (pull.waitForChunk()) {
            crossRegionBytes.inc(content.length);
        }
        active.plan().endPull(pull);
        active.plan().recordHeld(pull.chunk(), now);
        possessionChanged = true;
        publishProgress();
    }

    private void publishProgress() {
        download.ifPresent(active -> {
            int total = active.manifest().distinctChunks().size();
            progress = new Progress(
                    active.manifest().key(), active.plan().heldChunks().cardinality(), total);
            if (active.plan().isComplete()) {
                completed.accept(active.manifest());
            }
        });
    }

    private void addSubscriber(WeightsEvent.PossessionRequested event) {
        Subscriber subscriber = new Subscriber(event.connection(), event.correlation(), event.weightsKey());
        subscribers.removeIf(existing -> existing.connection().equals(event.connection()));
        if (subscribers.size() >= MAXIMUM_SUBSCRIBERS || !sendPossession(subscriber)) {
            return;
        }
        subscribers.add(subscriber);
    }

    /** Sends a subscriber the held chunks of the weights that it asked for: none while other weights are wanted. */
    private boolean sendPossession(Subscriber subscriber) {
        BitSet heldChunks = downloadOf(subscriber.weightsKey())
                .map(found -> found.plan().heldChunks())
                .orElseGet(BitSet::new);
        Possession possession = Possession.newBuilder()
                .setWeightsKey(subscriber.weightsKey())
                .setBitmap(ByteString.copyFrom(heldChunks.toByteArray()))
                .build();
        return subscriber
                .connection()
                .reply(subscriber.correlation(), Frame.newBuilder().setPossession(possession));
    }

    private Optional<Download> downloadOf(String weightsKey) {
        return download.filter(active -> active.manifest().key().equals(weightsKey));
    }

    private Optional<ModelWorkload> wantedModel() {
        return assignment.flatMap(Assignment::model);
    }

    private List<Member> members() {
        List<Member> members = new ArrayList<>();
        members.add(new Member(self.name(), self.region()));
        for (Peer peer : assignment.map(Assignment::peers).orElse(List.of())) {
            if (!peer.getVm().equals(self.name())) {
                members.add(new Member(peer.getVm(), peer.getRegion()));
            }
        }
        return members;
    }

    private Optional<Peer> peer(String vm) {
        return assignment.stream()
                .flatMap(assigned -> assigned.peers().stream())
                .filter(peer -> peer.getVm().equals(vm))
                .findFirst();
    }

    private static Set<String> hashesOf(WeightsManifest manifest) {
        Set<String> hashes = new HashSet<>();
        manifest.distinctChunks().forEach(chunk -> hashes.add(chunk.hash()));
        return hashes;
    }

    /** Performs the I/O that the plan asks for, and offers the results to the controller as events. */
    interface PullExecutor {
        /** Reads the manifests of a workload. */
        void readManifest(ModelWorkload workload);

        /** Subscribes to the chunks that a neighbour holds, until the connection is lost. */
        void subscribe(Peer peer, String weightsKey);

        /** Pulls a chunk. */
        void pull(String weightsKey, Pull pull, Chunk chunk, Optional<Peer> peer);
    }

    /**
     * Progress of fetching the copy, in distinct chunks.
     *
     * @param weightsKey the key of the wanted weights, empty when there are none
     * @param chunksHeld the chunks held
     * @param chunksTotal the chunks of a complete copy, 0 before the manifest is read
     */
    record Progress(String weightsKey, int chunksHeld, int chunksTotal) {
        static final Progress NONE = new Progress("", 0, 0);
    }

    private record Download(WeightsManifest manifest, PullPlan plan) {}

    private record Subscriber(WireConnection connection, long correlation, String weightsKey) {}
}

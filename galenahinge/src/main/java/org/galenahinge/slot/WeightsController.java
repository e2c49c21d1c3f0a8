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
 * Brings a complete, verified copy of the wanted weights into memory. One thread.
 *
 * <p>When the wanted weights change, the old copy is abandoned at once; chunks that both share are kept.
 */
final class WeightsController implements AutoCloseable {
    private static final int RING = 4_096;
    private static final int MAXIMUM_FOLLOWERS = 256;
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final long FOLLOW_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** The executor reports the end of following, so this only bounds a report that was lost. */
    private static final long FOLLOWING_NANOS = TimeUnit.MINUTES.toNanos(1);

    private static final long MANIFEST_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long LEAST_SHARE_DIVISOR = 10;
    private static final double BURST_SECONDS = 0.05;

    private final Vm self;
    private final ChunkCache memory;
    private final PullLimits limits;
    private final PullExecutor executor;
    private final DecisionLog decisions;
    private final Consumer<WeightsManifest> completed;
    private final Controller<WeightsEvent> controller;
    private final Counter originBytes;
    private final Counter peerBytes;
    private final Counter crossRegionBytes;
    private final Counter corruptChunks;
    private final Map<String, Long> followNotBefore = new HashMap<>();
    private final List<Follower> followers = new ArrayList<>();
    private Optional<Assignment> assignment = Optional.empty();
    private Optional<Copy> copy = Optional.empty();
    private TokenBucket link;
    private long manifestRetryNanos;
    private boolean possessionChanged;
    private volatile double regionShare = 1;
    private volatile Progress progress = Progress.NONE;

    private WeightsController(
            Vm self,
            ChunkCache memory,
            PullLimits limits,
            long linkBytesPerSecond,
            Function<WeightsController, PullExecutor> executor,
            DecisionLog decisions,
            Consumer<WeightsManifest> completed,
            MetricRegistry metrics) {
        this.self = self;
        this.memory = memory;
        this.limits = limits;
        this.link = TokenBucket.full(
                (double) linkBytesPerSecond, Math.max(1, linkBytesPerSecond * BURST_SECONDS), System.nanoTime());
        this.decisions = decisions;
        this.completed = completed;
        this.originBytes = metrics.counter("weights.origin.bytes");
        this.peerBytes = metrics.counter("weights.peer.bytes");
        this.crossRegionBytes = metrics.counter("weights.cross-region.bytes");
        this.corruptChunks = metrics.counter("weights.chunks.corrupt");
        this.executor = executor.apply(this);
        this.controller = Controller.start("weights", RING, TICK, this::handle, this::tick);
    }

    static WeightsController start(
            Vm self,
            ChunkCache memory,
            PullLimits limits,
            long linkBytesPerSecond,
            Function<WeightsController, PullExecutor> executor,
            DecisionLog decisions,
            Consumer<WeightsManifest> completed,
            MetricRegistry metrics) {
        return new WeightsController(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(memory, "memory"),
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

    /** The part of the own region's budget towards other regions that this VM may use, from 0 to 1. */
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
            pullEnded(ended);
        } else if (event instanceof WeightsEvent.Possessed possessed) {
            current(possessed.weightsKey())
                    .ifPresent(held -> held.plan().setNeighbourChunks(possessed.vm(), possessed.chunks()));
        } else if (event instanceof WeightsEvent.NeighbourLost lost) {
            followNotBefore.put(lost.vm(), System.nanoTime() + FOLLOW_RETRY_NANOS);
            current(lost.weightsKey()).ifPresent(held -> held.plan().recordUnreachable(lost.vm(), System.nanoTime()));
        } else if (event instanceof WeightsEvent.Followed follower) {
            follow(follower);
        } else if (event instanceof WeightsEvent.Wanted wanted) {
            want(wanted.assignment());
        } else if (event instanceof WeightsEvent.ManifestRead read) {
            manifestRead(read);
        }
    }

    private Duration tick() {
        long now = System.nanoTime();
        if (copy.isEmpty() && wantedModel().isPresent() && now - manifestRetryNanos >= 0) {
            readManifest(now);
        }
        copy.ifPresent(held -> {
            followNeighbours(held, now);
            pullMore(held, now);
        });
        if (possessionChanged) {
            possessionChanged = false;
            followers.removeIf(follower -> !tell(follower));
        }
        boolean busy = wantedModel().isPresent()
                && !copy.map(held -> held.plan().isComplete()).orElse(false);
        return busy ? TICK : IDLE;
    }

    private void want(Optional<Assignment> next) {
        String before = wantedModel().map(ModelWorkload::weightsKey).orElse("");
        assignment = next;
        String now = wantedModel().map(ModelWorkload::weightsKey).orElse("");
        if (!before.equals(now)) {
            copy = Optional.empty();
            followNotBefore.clear();
            followers.removeIf(follower -> !follower.weightsKey().equals(now));
            manifestRetryNanos = System.nanoTime();
            progress = new Progress(now, 0, 0);
            return;
        }
        copy.ifPresent(held -> {
            held.plan().setMembers(members());
            shareRegionLink(held.plan());
        });
    }

    /** A VM that draws nothing itself may still have to step in for another, so its part is never nothing. */
    private void shareRegionLink(PullPlan plan) {
        long members = members().stream()
                .filter(member -> member.region().equals(self.region()))
                .count();
        regionShare = Math.max(plan.shareOfOriginChunks(), 1.0 / (LEAST_SHARE_DIVISOR * members));
    }

    private void readManifest(long now) {
        manifestRetryNanos = now + MANIFEST_RETRY_NANOS;
        executor.readManifest(wantedModel().orElseThrow());
    }

    private void manifestRead(WeightsEvent.ManifestRead read) {
        String wanted = wantedModel().map(ModelWorkload::weightsKey).orElse("");
        if (copy.isPresent() || read.manifest().isEmpty() || !read.weightsKey().equals(wanted)) {
            return;
        }
        WeightsManifest manifest = read.manifest().get();
        memory.retainAll(hashesOf(manifest));
        long now = System.nanoTime();
        List<String> hashes =
                manifest.distinctChunks().stream().map(Chunk::hash).toList();
        PullPlan plan = PullPlan.create(self.name(), hashes, limits, self.name().hashCode() ^ now, now);
        plan.setMembers(members());
        for (int chunk = 0; chunk < hashes.size(); chunk++) {
            if (memory.contains(hashes.get(chunk))) {
                plan.recordHeld(chunk, now);
            }
        }
        copy = Optional.of(new Copy(manifest, plan));
        shareRegionLink(plan);
        possessionChanged = true;
        decisions.record(
                manifest.key(),
                "place",
                plan.neighbours(),
                self.name(),
                plan.heldChunks().cardinality() + " of " + hashes.size() + " chunks are held already");
        publishProgress();
    }

    private void followNeighbours(Copy held, long now) {
        if (held.plan().isComplete()) {
            return;
        }
        for (String vm : held.plan().neighbours()) {
            Long notBefore = followNotBefore.get(vm);
            if (notBefore == null || now - notBefore > 0) {
                followNotBefore.put(vm, now + FOLLOWING_NANOS);
                peer(vm).ifPresent(peer -> executor.follow(peer, held.manifest().key()));
            }
        }
    }

    private void pullMore(Copy held, long now) {
        if (!link.hasTokens(now)) {
            return;
        }
        for (Pull pull : held.plan().nextPulls(now)) {
            Chunk chunk = held.manifest().distinctChunks().get(pull.chunk());
            Optional<Peer> peer =
                    pull.source() instanceof PullPlan.Source.Peer source ? peer(source.vm()) : Optional.empty();
            executor.pull(held.manifest().key(), pull, chunk, peer);
        }
    }

    private void pullEnded(WeightsEvent.PullEnded event) {
        Optional<Copy> held = current(event.weightsKey());
        if (held.isEmpty()) {
            return;
        }
        PullPlan plan = held.get().plan();
        long now = System.nanoTime();
        PullOutcome outcome = event.outcome();
        if (outcome instanceof PullOutcome.Came came) {
            keep(held.get(), event.pull(), bytesOf(came.content()), now);
        } else if (outcome instanceof PullOutcome.Busy) {
            plan.recordBusy(event.pull(), now);
        } else {
            pullFailed(plan, event.pull(), outcome, now);
        }
        pullMore(held.get(), now);
    }

    private static byte[] bytesOf(ByteBuffer content) {
        byte[] bytes = new byte[content.remaining()];
        content.get(bytes);
        return bytes;
    }

    private static void pullFailed(PullPlan plan, Pull pull, PullOutcome outcome, long now) {
        if (outcome instanceof PullOutcome.Unreachable && pull.source() instanceof PullPlan.Source.Peer peer) {
            plan.recordUnreachable(peer.vm(), now);
        }
        plan.recordFailure(pull, now);
    }

    private void keep(Copy held, Pull pull, byte[] content, long now) {
        Chunk chunk = held.manifest().distinctChunks().get(pull.chunk());
        AddResult keeping = memory.add(chunk, content);
        if (keeping == AddResult.CORRUPT || keeping == AddResult.CACHE_FULL) {
            corruptChunks.inc(keeping == AddResult.CORRUPT ? 1 : 0);
            decisions.record(
                    held.manifest().key(),
                    "refuse-chunk",
                    List.of(chunk.hash()),
                    pull.source().label(),
                    keeping == AddResult.CORRUPT ? "its content is not what its hash names" : "no room for weights");
            held.plan().recordFailure(pull, now);
            return;
        }
        boolean fromOrigin = pull.source() instanceof PullPlan.Source.Origin;
        (fromOrigin ? originBytes : peerBytes).inc(content.length);
        link = link.spend(content.length, now);
        if (pull.waitForChunk()) {
            crossRegionBytes.inc(content.length);
        }
        held.plan().endPull(pull);
        held.plan().recordHeld(pull.chunk(), now);
        possessionChanged = true;
        publishProgress();
    }

    private void publishProgress() {
        copy.ifPresent(held -> {
            int total = held.manifest().distinctChunks().size();
            progress =
                    new Progress(held.manifest().key(), held.plan().heldChunks().cardinality(), total);
            if (held.plan().isComplete()) {
                completed.accept(held.manifest());
            }
        });
    }

    private void follow(WeightsEvent.Followed event) {
        Follower follower = new Follower(event.peer(), event.correlation(), event.weightsKey());
        followers.removeIf(known -> known.peer().equals(event.peer()));
        if (followers.size() >= MAXIMUM_FOLLOWERS || !tell(follower)) {
            return;
        }
        followers.add(follower);
    }

    /** Tells a follower what is held of the weights that it asked for: nothing while other weights are wanted. */
    private boolean tell(Follower follower) {
        BitSet held = current(follower.weightsKey())
                .map(found -> found.plan().heldChunks())
                .orElseGet(BitSet::new);
        Possession possession = Possession.newBuilder()
                .setWeightsKey(follower.weightsKey())
                .setBitmap(ByteString.copyFrom(held.toByteArray()))
                .build();
        return follower.peer().reply(follower.correlation(), Frame.newBuilder().setPossession(possession));
    }

    private Optional<Copy> current(String weightsKey) {
        return copy.filter(held -> held.manifest().key().equals(weightsKey));
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

    /** Does the input and output that the plan asks for, and reports back as events. */
    interface PullExecutor {
        /** Reads the manifests of a workload. */
        void readManifest(ModelWorkload workload);

        /** Follows what a neighbour holds until its link breaks. */
        void follow(Peer peer, String weightsKey);

        /** Pulls a chunk. */
        void pull(String weightsKey, Pull pull, Chunk chunk, Optional<Peer> peer);
    }

    /**
     * How far the copy is.
     *
     * @param weightsKey the wanted weights, empty when none are
     * @param chunksHeld the chunks held
     * @param chunksTotal the chunks of a whole copy, 0 before the manifest is known
     */
    record Progress(String weightsKey, int chunksHeld, int chunksTotal) {
        static final Progress NONE = new Progress("", 0, 0);
    }

    private record Copy(WeightsManifest manifest, PullPlan plan) {}

    private record Follower(WireConnection peer, long correlation, String weightsKey) {}
}

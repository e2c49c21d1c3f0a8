package org.galenahinge.slot;

import com.google.common.io.BaseEncoding;
import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenahinge.reader.WeightsSourceClient;
import org.galenahinge.slot.WeightsEvent.PullOutcome;
import org.galenahinge.ticket.TicketGroup.ModelWorkload;
import org.galenahinge.weights.Artifact;
import org.galenahinge.weights.Manifest;
import org.galenahinge.weights.Manifest.Chunk;
import org.galenahinge.weights.PullPlan;
import org.galenahinge.weights.PullPlan.Pull;
import org.galenahinge.weights.WeightsManifest;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.ChunkAnswer;
import org.galenahinge.wire.generated.ChunkRequest;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.PossessionRequest;
import org.jboss.logging.Logger;

/** Performs the network I/O of the weights controller: reads manifests, pulls chunks and subscribes to neighbours. */
final class NetworkPullExecutor implements WeightsController.PullExecutor {
    private static final Logger LOG = Logger.getLogger(NetworkPullExecutor.class);
    private static final Duration PEER_CHUNK_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration PEER_CHUNK_WAIT_TIMEOUT = Duration.ofSeconds(25);
    private static final Duration MINIMUM_ORIGIN_TIMEOUT = Duration.ofSeconds(10);
    private static final int ORIGIN_TIMEOUT_FACTOR = 8;

    private final WeightsController controller;
    private final PeerConnections connections;
    private final WeightsSourceClient store;
    private final WeightsSourceClient origin;
    private final long originBytesPerSecond;
    private final AtomicInteger originFailures = new AtomicInteger();

    NetworkPullExecutor(
            WeightsController controller,
            PeerConnections connections,
            WeightsSourceClient store,
            WeightsSourceClient origin,
            long originBytesPerSecond) {
        this.controller = Objects.requireNonNull(controller, "controller");
        this.connections = Objects.requireNonNull(connections, "connections");
        this.store = Objects.requireNonNull(store, "store");
        this.origin = Objects.requireNonNull(origin, "origin");
        this.originBytesPerSecond = originBytesPerSecond;
    }

    @Override
    public void readManifest(ModelWorkload workload) {
        CompletableFuture<List<Manifest>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (Artifact artifact : Artifact.of(workload)) {
            all = all.thenCombine(manifest(artifact), NetworkPullExecutor::append);
        }
        String key = workload.weightsKey();
        all.handle((manifests, error) -> readOrWarn(key, manifests, error))
                .thenAccept(manifests -> controller.offer(
                        new WeightsEvent.ManifestRead(key, manifests.map(list -> WeightsManifest.of(key, list)))));
    }

    private static Optional<List<Manifest>> readOrWarn(String key, List<Manifest> manifests, Throwable error) {
        if (error != null) {
            LOG.warnf("cannot read the manifests of %s: %s", key, error);
        }
        return Optional.ofNullable(manifests);
    }

    private CompletionStage<Manifest> manifest(Artifact artifact) {
        return store.readManifest(artifact)
                .handle((manifest, error) ->
                        error == null ? CompletableFuture.completedStage(manifest) : origin.readManifest(artifact))
                .thenCompose(stage -> stage);
    }

    private static List<Manifest> append(List<Manifest> list, Manifest manifest) {
        list.add(manifest);
        return list;
    }

    @Override
    public void subscribe(Peer peer, String weightsKey) {
        Subscription subscription = new Subscription(peer.getVm(), weightsKey);
        connections.connectionTo(peer).whenComplete((connection, error) -> {
            if (error != null) {
                subscription.lost();
                return;
            }
            PossessionRequest request =
                    PossessionRequest.newBuilder().setWeightsKey(weightsKey).build();
            if (connection.open(Frame.newBuilder().setPossessionRequest(request), subscription) == 0) {
                subscription.lost();
            }
        });
    }

    @Override
    public void pull(String weightsKey, Pull pull, Chunk chunk, Optional<Peer> peer) {
        if (pull.source() instanceof PullPlan.Source.Origin) {
            pullFromOrigin(weightsKey, pull, chunk);
        } else if (peer.isEmpty()) {
            offerPullEnded(weightsKey, pull, new PullOutcome.Unreachable());
        } else {
            pullFromPeer(weightsKey, pull, chunk, peer.get());
        }
    }

    /** Reads from the origin; after a failure from the store, and after a failure of the store from the origin again. */
    private void pullFromOrigin(String weightsKey, Pull pull, Chunk chunk) {
        boolean useStore = originFailures.get() % 2 == 1;
        WeightsSourceClient source = useStore ? store : origin;
        Duration allowance = Duration.ofMillis(chunk.bytes() * 1_000L * ORIGIN_TIMEOUT_FACTOR / originBytesPerSecond);
        source.readChunk(chunk.hash(), chunk.bytes(), MINIMUM_ORIGIN_TIMEOUT.plus(allowance))
                .whenComplete((content, error) -> {
                    if (error != null) {
                        originFailures.incrementAndGet();
                    }
                    offerPullEnded(
                            weightsKey,
                            pull,
                            error == null
                                    ? new PullOutcome.Received(ByteBuffer.wrap(content))
                                    : new PullOutcome.Missing());
                });
    }

    private void pullFromPeer(String weightsKey, Pull pull, Chunk chunk, Peer peer) {
        Duration timeout = pull.waitForChunk() ? PEER_CHUNK_WAIT_TIMEOUT : PEER_CHUNK_TIMEOUT;
        connections
                .connectionTo(peer)
                .thenCompose(connection -> requestChunk(connection, pull, chunk, timeout))
                .whenComplete((answer, error) -> {
                    offerPullEnded(weightsKey, pull, error == null ? outcomeOf(answer) : new PullOutcome.Unreachable());
                });
    }

    private static CompletionStage<ChunkAnswer> requestChunk(
            WireConnection connection, Pull pull, Chunk chunk, Duration timeout) {
        ByteString hash = ByteString.copyFrom(BaseEncoding.base16().lowerCase().decode(chunk.hash()));
        ChunkRequest request = ChunkRequest.newBuilder()
                .setHash(hash)
                .setPatient(pull.waitForChunk())
                .build();
        return connection
                .ask(Frame.newBuilder().setChunkRequest(request), timeout)
                .thenApply(frame -> {
                    if (!frame.hasChunkAnswer()
                            || !frame.getChunkAnswer().getHash().equals(hash)) {
                        throw new CompletionException(new IllegalStateException("the reply is for another chunk"));
                    }
                    return frame.getChunkAnswer();
                });
    }

    private static PullOutcome outcomeOf(ChunkAnswer answer) {
        if (answer.getFound()) {
            return new PullOutcome.Received(answer.getContent().asReadOnlyByteBuffer());
        }
        return answer.getBusy() ? new PullOutcome.Busy() : new PullOutcome.Missing();
    }

    private void offerPullEnded(String weightsKey, Pull pull, PullOutcome outcome) {
        controller.offer(new WeightsEvent.PullEnded(weightsKey, pull, outcome));
    }

    private final class Subscription implements WireConnection.ExchangeListener {
        private final String vm;
        private final String weightsKey;

        Subscription(String vm, String weightsKey) {
            this.vm = vm;
            this.weightsKey = weightsKey;
        }

        @Override
        public void responseReceived(Frame frame) {
            if (frame.hasPossession()) {
                BitSet chunks = BitSet.valueOf(frame.getPossession().getBitmap().asReadOnlyByteBuffer());
                controller.offer(new WeightsEvent.PossessionReceived(
                        vm, frame.getPossession().getWeightsKey(), chunks));
            }
        }

        @Override
        public void lost() {
            controller.offer(new WeightsEvent.NeighbourConnectionLost(vm, weightsKey));
        }
    }
}

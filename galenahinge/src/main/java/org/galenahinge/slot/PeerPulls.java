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

/** Does the input and output of the weights controller: manifests, chunks and what neighbours hold. */
final class PeerPulls implements WeightsController.PullExecutor {
    private static final Logger LOG = Logger.getLogger(PeerPulls.class);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration PATIENT_TIMEOUT = Duration.ofSeconds(25);
    private static final Duration LEAST_ORIGIN_TIMEOUT = Duration.ofSeconds(10);
    private static final int SLOWEST_SHARE = 8;

    private final WeightsController controller;
    private final PeerConnections links;
    private final WeightsSourceClient store;
    private final WeightsSourceClient origin;
    private final long originBytesPerSecond;
    private final AtomicInteger originFailures = new AtomicInteger();

    PeerPulls(
            WeightsController controller,
            PeerConnections links,
            WeightsSourceClient store,
            WeightsSourceClient origin,
            long originBytesPerSecond) {
        this.controller = Objects.requireNonNull(controller, "controller");
        this.links = Objects.requireNonNull(links, "links");
        this.store = Objects.requireNonNull(store, "store");
        this.origin = Objects.requireNonNull(origin, "origin");
        this.originBytesPerSecond = originBytesPerSecond;
    }

    @Override
    public void readManifest(ModelWorkload workload) {
        CompletableFuture<List<Manifest>> all = CompletableFuture.completedFuture(new ArrayList<>());
        for (Artifact artifact : Artifact.of(workload)) {
            all = all.thenCombine(manifest(artifact), PeerPulls::append);
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
    public void follow(Peer peer, String weightsKey) {
        Following following = new Following(peer.getVm(), weightsKey);
        links.connectionTo(peer).whenComplete((link, error) -> {
            if (error != null) {
                following.lost();
                return;
            }
            PossessionRequest request =
                    PossessionRequest.newBuilder().setWeightsKey(weightsKey).build();
            if (link.open(Frame.newBuilder().setPossessionRequest(request), following) == 0) {
                following.lost();
            }
        });
    }

    @Override
    public void pull(String weightsKey, Pull pull, Chunk chunk, Optional<Peer> peer) {
        if (pull.source() instanceof PullPlan.Source.Origin) {
            pullFromOrigin(weightsKey, pull, chunk);
        } else if (peer.isEmpty()) {
            end(weightsKey, pull, new PullOutcome.Unreachable());
        } else {
            pullFromPeer(weightsKey, pull, chunk, peer.get());
        }
    }

    /** The store stands in for the origin as long as the origin fails. */
    private void pullFromOrigin(String weightsKey, Pull pull, Chunk chunk) {
        boolean useStore = originFailures.get() % 2 == 1;
        WeightsSourceClient source = useStore ? store : origin;
        Duration expected = Duration.ofMillis(chunk.bytes() * 1_000L * SLOWEST_SHARE / originBytesPerSecond);
        source.readChunk(chunk.hash(), chunk.bytes(), LEAST_ORIGIN_TIMEOUT.plus(expected))
                .whenComplete((content, error) -> {
                    if (error != null) {
                        originFailures.incrementAndGet();
                    }
                    end(
                            weightsKey,
                            pull,
                            error == null ? new PullOutcome.Came(ByteBuffer.wrap(content)) : new PullOutcome.Missing());
                });
    }

    private void pullFromPeer(String weightsKey, Pull pull, Chunk chunk, Peer peer) {
        Duration timeout = pull.waitForChunk() ? PATIENT_TIMEOUT : PEER_TIMEOUT;
        links.connectionTo(peer)
                .thenCompose(link -> ask(link, pull, chunk, timeout))
                .whenComplete((answer, error) -> {
                    end(weightsKey, pull, error == null ? outcomeOf(answer) : new PullOutcome.Unreachable());
                });
    }

    private static CompletionStage<ChunkAnswer> ask(WireConnection link, Pull pull, Chunk chunk, Duration timeout) {
        ByteString hash = ByteString.copyFrom(BaseEncoding.base16().lowerCase().decode(chunk.hash()));
        ChunkRequest request = ChunkRequest.newBuilder()
                .setHash(hash)
                .setPatient(pull.waitForChunk())
                .build();
        return link.ask(Frame.newBuilder().setChunkRequest(request), timeout).thenApply(frame -> {
            if (!frame.hasChunkAnswer() || !frame.getChunkAnswer().getHash().equals(hash)) {
                throw new CompletionException(new IllegalStateException("the answer is for another chunk"));
            }
            return frame.getChunkAnswer();
        });
    }

    private static PullOutcome outcomeOf(ChunkAnswer answer) {
        if (answer.getFound()) {
            return new PullOutcome.Came(answer.getContent().asReadOnlyByteBuffer());
        }
        return answer.getBusy() ? new PullOutcome.Busy() : new PullOutcome.Missing();
    }

    private void end(String weightsKey, Pull pull, PullOutcome outcome) {
        controller.offer(new WeightsEvent.PullEnded(weightsKey, pull, outcome));
    }

    private final class Following implements WireConnection.ExchangeListener {
        private final String vm;
        private final String weightsKey;

        Following(String vm, String weightsKey) {
            this.vm = vm;
            this.weightsKey = weightsKey;
        }

        @Override
        public void responseReceived(Frame frame) {
            if (frame.hasPossession()) {
                BitSet chunks = BitSet.valueOf(frame.getPossession().getBitmap().asReadOnlyByteBuffer());
                controller.offer(
                        new WeightsEvent.Possessed(vm, frame.getPossession().getWeightsKey(), chunks));
            }
        }

        @Override
        public void lost() {
            controller.offer(new WeightsEvent.NeighbourLost(vm, weightsKey));
        }
    }
}

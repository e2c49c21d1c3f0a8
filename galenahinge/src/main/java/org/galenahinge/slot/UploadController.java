package org.galenahinge.slot;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.io.BaseEncoding;
import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.limit.TokenBucket;
import org.galenahinge.weights.ChunkCache;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.ChunkAnswer;
import org.galenahinge.wire.generated.ChunkRequest;
import org.galenahinge.wire.generated.Frame;

/**
 * Sends chunks to other VMs within the bandwidth budget of this VM's link. All requests are handled on one thread.
 *
 * <p>The requests that wait for the link and those that wait for a chunk not yet cached are bounded. Beyond the first
 * bound the reply is "busy", beyond the second "not found", and the peer asks another VM.
 */
final class UploadController implements AutoCloseable {
    private static final int EVENT_QUEUE_CAPACITY = 1_024;
    /** Low, because a peer that would have to wait long for the link gets the chunk sooner from another VM. */
    private static final int MAXIMUM_READY_IN_REGION = 4;

    private static final int MAXIMUM_READY_FOR_OTHER_REGIONS = 256;
    private static final int MAXIMUM_WAITING_FOR_CHUNK = 1_024;
    private static final Duration MINIMUM_TICK_INTERVAL = Duration.ofMillis(5);
    private static final Duration CHUNK_CHECK_INTERVAL = Duration.ofMillis(20);
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofSeconds(10);
    private static final Duration CHUNK_WAIT_TIMEOUT = Duration.ofSeconds(20);
    private static final double BURST_SECONDS = 0.02;
    private static final BaseEncoding HEXADECIMAL = BaseEncoding.base16().lowerCase();

    private final ChunkCache cache;
    private final Controller<UploadRequest> controller;
    private final Deque<UploadRequest> readyInRegion = new ArrayDeque<>();
    private final List<UploadRequest> waitingForChunk = new ArrayList<>();
    private final Counter sentBytes;
    private final long regionBytesPerSecond;
    private final DoubleSupplier regionShare;
    private final Deque<UploadRequest> readyForOtherRegions = new ArrayDeque<>();
    private TokenBucket linkBudget;
    private TokenBucket regionLinkBudget;
    private double regionShareInUse = 1;

    private UploadController(
            ChunkCache cache,
            long bytesPerSecond,
            long regionBytesPerSecond,
            DoubleSupplier regionShare,
            MetricRegistry metrics) {
        this.cache = cache;
        this.regionBytesPerSecond = regionBytesPerSecond;
        this.regionShare = regionShare;
        this.linkBudget = tokenBucket(bytesPerSecond);
        this.regionLinkBudget = tokenBucket(regionBytesPerSecond);
        this.sentBytes = metrics.counter("weights.sent.bytes");
        this.controller =
                Controller.start("uploads", EVENT_QUEUE_CAPACITY, MINIMUM_TICK_INTERVAL, this::handle, this::tick);
    }

    /**
     * Starts the controller.
     *
     * @param cache the chunks that can be sent
     * @param bytesPerSecond the bandwidth budget of this VM's link
     * @param regionBytesPerSecond the bandwidth budget that all VMs of this region share for traffic to other
     *     regions
     * @param regionShare the share of that budget that this VM may use, from 0 to 1
     * @param metrics the registry that counts the bytes sent
     * @return the running controller
     */
    static UploadController start(
            ChunkCache cache,
            long bytesPerSecond,
            long regionBytesPerSecond,
            DoubleSupplier regionShare,
            MetricRegistry metrics) {
        return new UploadController(
                Objects.requireNonNull(cache, "cache"),
                bytesPerSecond,
                regionBytesPerSecond,
                Objects.requireNonNull(regionShare, "regionShare"),
                metrics);
    }

    private static TokenBucket tokenBucket(double bytesPerSecond) {
        return TokenBucket.full(bytesPerSecond, Math.max(1, bytesPerSecond * BURST_SECONDS), System.nanoTime());
    }

    void offerRequest(WireConnection connection, long correlation, ChunkRequest request, boolean fromOtherRegion) {
        UploadRequest upload = new UploadRequest(
                connection,
                correlation,
                HEXADECIMAL.encode(request.getHash().toByteArray()),
                request.getPatient(),
                fromOtherRegion,
                System.nanoTime() + CHUNK_WAIT_TIMEOUT.toNanos());
        if (!controller.offer(upload)) {
            replyNotFound(upload);
        }
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(UploadRequest upload) {
        if (cache.contains(upload.hash())) {
            enqueue(upload);
        } else if (upload.waitForChunk() && waitingForChunk.size() < MAXIMUM_WAITING_FOR_CHUNK) {
            waitingForChunk.add(upload);
        } else {
            replyNotFound(upload);
        }
        sendWithinBudget();
    }

    private Duration tick() {
        long now = System.nanoTime();
        for (UploadRequest upload : List.copyOf(waitingForChunk)) {
            if (cache.contains(upload.hash())) {
                waitingForChunk.remove(upload);
                enqueue(upload);
            } else if (now - upload.deadlineNanos() > 0 || !upload.connection().isOpen()) {
                waitingForChunk.remove(upload);
                replyNotFound(upload);
            }
        }
        sendWithinBudget();
        if (readyInRegion.isEmpty() && readyForOtherRegions.isEmpty()) {
            return waitingForChunk.isEmpty() ? IDLE_TICK_INTERVAL : CHUNK_CHECK_INTERVAL;
        }
        return MINIMUM_TICK_INTERVAL;
    }

    private void enqueue(UploadRequest upload) {
        Deque<UploadRequest> queue = upload.fromOtherRegion() ? readyForOtherRegions : readyInRegion;
        if (queue.size() >= (upload.fromOtherRegion() ? MAXIMUM_READY_FOR_OTHER_REGIONS : MAXIMUM_READY_IN_REGION)) {
            reply(upload, ChunkAnswer.newBuilder().setBusy(true));
            return;
        }
        queue.add(upload);
    }

    private void sendWithinBudget() {
        updateRegionLinkBudget();
        // Other regions go first: a whole region waits for such a chunk, only one neighbour for any other.
        while (!readyForOtherRegions.isEmpty()
                && regionLinkBudget.hasTokens(System.nanoTime())
                && linkBudget.hasTokens(System.nanoTime())) {
            UploadRequest upload = readyForOtherRegions.remove();
            cache.find(upload.hash())
                    .ifPresent(content -> regionLinkBudget = regionLinkBudget.spend(content.length, System.nanoTime()));
            send(upload);
        }
        while (!readyInRegion.isEmpty() && linkBudget.hasTokens(System.nanoTime())) {
            send(readyInRegion.remove());
        }
    }

    private void updateRegionLinkBudget() {
        double newShare = regionShare.getAsDouble();
        if (newShare != regionShareInUse) {
            regionShareInUse = newShare;
            regionLinkBudget = tokenBucket(regionBytesPerSecond * newShare);
        }
    }

    private void send(UploadRequest upload) {
        Optional<byte[]> content = cache.find(upload.hash());
        if (content.isEmpty() || !upload.connection().isOpen()) {
            replyNotFound(upload);
            return;
        }
        byte[] bytes = content.get();
        linkBudget = linkBudget.spend(bytes.length, System.nanoTime());
        sentBytes.inc(bytes.length);
        reply(upload, ChunkAnswer.newBuilder().setFound(true).setContent(UnsafeByteOperations.unsafeWrap(bytes)));
    }

    private static void replyNotFound(UploadRequest upload) {
        reply(upload, ChunkAnswer.newBuilder());
    }

    private static void reply(UploadRequest upload, ChunkAnswer.Builder answer) {
        ByteString hash = ByteString.copyFrom(HEXADECIMAL.decode(upload.hash()));
        upload.connection().reply(upload.correlation(), Frame.newBuilder().setChunkAnswer(answer.setHash(hash)));
    }

    private record UploadRequest(
            WireConnection connection,
            long correlation,
            String hash,
            boolean waitForChunk,
            boolean fromOtherRegion,
            long deadlineNanos) {}
}

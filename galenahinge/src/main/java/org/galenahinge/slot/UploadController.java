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
 * Sends chunks to other VMs at the rate of the own link's budget. One thread.
 *
 * <p>Bounds: requests that wait for the link and patient ones that wait for the chunk; past either the answer is "not
 * found" and the peer asks elsewhere.
 */
final class UploadController implements AutoCloseable {
    private static final int RING = 1_024;
    /** Few may wait for the link: a peer that would wait long finds the chunk elsewhere sooner. */
    private static final int MAXIMUM_READY = 4;

    private static final int MAXIMUM_READY_FOR_OTHER_REGIONS = 256;
    private static final int MAXIMUM_PATIENT = 1_024;
    private static final Duration TICK = Duration.ofMillis(5);
    private static final Duration PATIENT_CHECK = Duration.ofMillis(20);
    private static final Duration IDLE = Duration.ofSeconds(10);
    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final double BURST_SECONDS = 0.02;
    private static final BaseEncoding HEXADECIMAL = BaseEncoding.base16().lowerCase();

    private final ChunkCache memory;
    private final Controller<Ask> controller;
    private final Deque<Ask> ready = new ArrayDeque<>();
    private final List<Ask> patient = new ArrayList<>();
    private final Counter sentBytes;
    private final long regionBytesPerSecond;
    private final DoubleSupplier regionShare;
    private final Deque<Ask> readyForOtherRegions = new ArrayDeque<>();
    private TokenBucket link;
    private TokenBucket regionLink;
    private double share = 1;

    private UploadController(
            ChunkCache memory,
            long bytesPerSecond,
            long regionBytesPerSecond,
            DoubleSupplier regionShare,
            MetricRegistry metrics) {
        this.memory = memory;
        this.regionBytesPerSecond = regionBytesPerSecond;
        this.regionShare = regionShare;
        this.link = bucket(bytesPerSecond);
        this.regionLink = bucket(regionBytesPerSecond);
        this.sentBytes = metrics.counter("weights.sent.bytes");
        this.controller = Controller.start("uploads", RING, TICK, this::take, this::tick);
    }

    /**
     * Starts sending what is asked for.
     *
     * @param memory holds the chunks
     * @param bytesPerSecond the budget of the own link
     * @param regionBytesPerSecond the budget that all VMs of the own region share towards other regions
     * @param regionShare the part of that budget that this VM may use, from 0 to 1
     * @param metrics counts the bytes
     * @return the running controller
     */
    static UploadController start(
            ChunkCache memory,
            long bytesPerSecond,
            long regionBytesPerSecond,
            DoubleSupplier regionShare,
            MetricRegistry metrics) {
        return new UploadController(
                Objects.requireNonNull(memory, "memory"),
                bytesPerSecond,
                regionBytesPerSecond,
                Objects.requireNonNull(regionShare, "regionShare"),
                metrics);
    }

    private static TokenBucket bucket(double bytesPerSecond) {
        return TokenBucket.full(bytesPerSecond, Math.max(1, bytesPerSecond * BURST_SECONDS), System.nanoTime());
    }

    void ask(WireConnection peer, long correlation, ChunkRequest request, boolean otherRegion) {
        Ask ask = new Ask(
                peer,
                correlation,
                HEXADECIMAL.encode(request.getHash().toByteArray()),
                request.getPatient(),
                otherRegion,
                System.nanoTime() + PATIENCE.toNanos());
        if (!controller.offer(ask)) {
            refuse(ask);
        }
    }

    @Override
    public void close() {
        controller.close();
    }

    private void take(Ask ask) {
        if (memory.contains(ask.hash())) {
            enqueue(ask);
        } else if (ask.isPatient() && patient.size() < MAXIMUM_PATIENT) {
            patient.add(ask);
        } else {
            refuse(ask);
        }
        sendWhatFits();
    }

    private Duration tick() {
        long now = System.nanoTime();
        for (Ask ask : List.copyOf(patient)) {
            if (memory.contains(ask.hash())) {
                patient.remove(ask);
                enqueue(ask);
            } else if (now - ask.untilNanos() > 0 || !ask.peer().isOpen()) {
                patient.remove(ask);
                refuse(ask);
            }
        }
        sendWhatFits();
        if (ready.isEmpty() && readyForOtherRegions.isEmpty()) {
            return patient.isEmpty() ? IDLE : PATIENT_CHECK;
        }
        return TICK;
    }

    private void enqueue(Ask ask) {
        Deque<Ask> queue = ask.otherRegion() ? readyForOtherRegions : ready;
        if (queue.size() >= (ask.otherRegion() ? MAXIMUM_READY_FOR_OTHER_REGIONS : MAXIMUM_READY)) {
            reply(ask, ChunkAnswer.newBuilder().setBusy(true));
            return;
        }
        queue.add(ask);
    }

    private void sendWhatFits() {
        shareRegionLink();
        // A chunk that another whole region waits for goes before one that a single neighbour waits for.
        while (!readyForOtherRegions.isEmpty()
                && regionLink.hasTokens(System.nanoTime())
                && link.hasTokens(System.nanoTime())) {
            Ask ask = readyForOtherRegions.remove();
            memory.find(ask.hash())
                    .ifPresent(content -> regionLink = regionLink.spend(content.length, System.nanoTime()));
            send(ask);
        }
        while (!ready.isEmpty() && link.hasTokens(System.nanoTime())) {
            send(ready.remove());
        }
    }

    private void shareRegionLink() {
        double allowed = regionShare.getAsDouble();
        if (allowed != share) {
            share = allowed;
            regionLink = bucket(regionBytesPerSecond * allowed);
        }
    }

    private void send(Ask ask) {
        Optional<byte[]> content = memory.find(ask.hash());
        if (content.isEmpty() || !ask.peer().isOpen()) {
            refuse(ask);
            return;
        }
        byte[] bytes = content.get();
        link = link.spend(bytes.length, System.nanoTime());
        sentBytes.inc(bytes.length);
        reply(ask, ChunkAnswer.newBuilder().setFound(true).setContent(UnsafeByteOperations.unsafeWrap(bytes)));
    }

    private static void refuse(Ask ask) {
        reply(ask, ChunkAnswer.newBuilder());
    }

    private static void reply(Ask ask, ChunkAnswer.Builder answer) {
        ByteString hash = ByteString.copyFrom(HEXADECIMAL.decode(ask.hash()));
        ask.peer().reply(ask.correlation(), Frame.newBuilder().setChunkAnswer(answer.setHash(hash)));
    }

    private record Ask(
            WireConnection peer,
            long correlation,
            String hash,
            boolean isPatient,
            boolean otherRegion,
            long untilNanos) {}
}

package org.galenahinge.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.concurrent.WaitList;
import org.galenahinge.facts.FactCursor;
import org.galenahinge.facts.FactLog;
import org.galenahinge.facts.FactSynchronizer;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.wire.generated.FactReading;

/** Serves facts to other nodes, which request the changes that they do not know. Not thread-safe. */
final class FactRelay {
    private static final int MAXIMUM_WAITING_REQUESTS = 1_000;
    private static final int MAXIMUM_PREPARED = 8;
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(2);
    private static final Duration MINIMUM_ADVANCE = Duration.ofMillis(200);

    private final FactLog facts;
    private final FactSynchronizer synchronizer;
    private final Timers timers;
    private final Supplier<List<String>> nodes;
    private final StoreDistances distances;
    private final WaitList<PendingRead> waiting;
    private final Counter sentBytes;
    private final Map<FactCursor, FactReading> prepared = new HashMap<>();
    private FactCursor preparedUpTo = FactCursor.START;

    private record PendingRead(
            ReadRequest request, Duration ageAtArrival, long arrivalNanos, Consumer<HttpDocument> reply) {}

    FactRelay(
            FactLog facts,
            FactSynchronizer synchronizer,
            Timers timers,
            Supplier<List<String>> nodes,
            StoreDistances distances,
            MetricRegistry metrics) {
        this.facts = Objects.requireNonNull(facts, "facts");
        this.synchronizer = Objects.requireNonNull(synchronizer, "synchronizer");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.distances = Objects.requireNonNull(distances, "distances");
        this.nodes = Objects.requireNonNull(nodes, "nodes");
        this.waiting = new WaitList<>(timers, MAXIMUM_WAITING_REQUESTS);
        this.sentBytes = metrics.counter("facts.sent.bytes");
    }

    /**
     * A node's request for facts.
     *
     * @param after how far the node has read
     * @param maximumWait the maximum time to wait for a change; at most 2 seconds are waited
     */
    record ReadRequest(FactCursor after, Duration maximumWait) {}

    /**
     * Responds to a request once there is a change, or once the time up to which these facts are known to be current
     * has advanced by more than 200 ms since the request arrived, and at the latest after the request's waiting time.
     * Responds at once when no facts are known (status 503), when the facts are stale, and when too many requests wait.
     *
     * @param request the request
     * @param reply receives the response
     */
    void read(ReadRequest request, Consumer<HttpDocument> reply) {
        if (!synchronizer.isLoaded()) {
            reply.accept(HttpDocument.text(503, "text/plain", "no facts are known yet\n"));
            return;
        }
        boolean cannotWait = synchronizer.isStale() || waiting.isFull();
        if (hasChanges(request) || cannotWait || request.maximumWait().isZero()) {
            respond(request, reply);
            return;
        }
        Duration wait = request.maximumWait().compareTo(MAXIMUM_WAIT) < 0 ? request.maximumWait() : MAXIMUM_WAIT;
        PendingRead pending = new PendingRead(request, synchronizer.age(), timers.nanoTime(), reply);
        waiting.add(pending, wait, this::respond);
    }

    /**
     * Responds to the waiting requests for which there are changes, or since whose arrival the facts have become
     * more current by more than {@link #MINIMUM_ADVANCE}.
     */
    void onRefresh() {
        waiting.removeReady(pending -> hasChanges(pending.request()) || isMoreCurrent(pending), this::respond);
    }

    private boolean hasChanges(ReadRequest request) {
        return facts.hasChangesAfter(request.after());
    }

    private boolean isMoreCurrent(PendingRead pending) {
        Duration sinceArrival = Duration.ofNanos(timers.nanoTime() - pending.arrivalNanos());
        Duration advance = pending.ageAtArrival().plus(sinceArrival).minus(synchronizer.age());
        return advance.compareTo(MINIMUM_ADVANCE) > 0;
    }

    /** Returns what a reader does not know; readers that know the same get the same message. */
    private FactReading prepared(FactCursor reader) {
        if (!facts.cursor().equals(preparedUpTo)) {
            preparedUpTo = facts.cursor();
            prepared.clear();
        }
        if (prepared.size() >= MAXIMUM_PREPARED) {
            prepared.clear();
        }
        return prepared.computeIfAbsent(reader, known -> FactReadingCodec.prepare(facts.changesAfter(known)));
    }

    private void respond(PendingRead pending) {
        respond(pending.request(), pending.reply());
    }

    private void respond(ReadRequest request, Consumer<HttpDocument> reply) {
        FactReadingCodec.Freshness freshness =
                new FactReadingCodec.Freshness(synchronizer.age(), synchronizer.isArriving());
        byte[] bytes = FactReadingCodec.encode(prepared(request.after()), freshness, nodes.get(), distances.all());
        sentBytes.inc(bytes.length);
        reply.accept(HttpDocument.bytes(200, bytes));
    }
}

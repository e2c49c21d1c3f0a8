package org.galenahinge.node;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.concurrent.WaitList;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactLog;
import org.galenahinge.facts.FactSynchronizer;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.wire.generated.FactEntry;
import org.galenahinge.wire.generated.FactReading;

/** Passes facts on to other nodes, which ask for what is newer than what they hold. Belongs to one thread. */
final class FactRelay {
    private static final int MAXIMUM_WAITING = 1_000;
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(2);
    private static final Duration PROGRESS = Duration.ofMillis(200);

    private final FactLog facts;
    private final FactSynchronizer follower;
    private final Timers timers;
    private final Supplier<List<String>> nodes;
    private final WaitList<Waiting> waiting;

    private record Waiting(Ask ask, Duration ageAsked, long sinceNanos, Consumer<HttpDocument> reply) {}

    FactRelay(FactLog facts, FactSynchronizer follower, Timers timers, Supplier<List<String>> nodes) {
        this.facts = Objects.requireNonNull(facts, "facts");
        this.follower = Objects.requireNonNull(follower, "follower");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.nodes = Objects.requireNonNull(nodes, "nodes");
        this.waiting = new WaitList<>(timers, MAXIMUM_WAITING);
    }

    /**
     * What a node asks.
     *
     * @param after the revision that it holds
     * @param patience how long it waits for a change
     * @param packed whether the answer is to be compressed, because it crosses a thin link
     */
    record Ask(long after, Duration patience, boolean packed) {}

    /**
     * Answers a node: when there is a change, or when these facts are known to be fresher than when it asked.
     *
     * @param ask what it asks
     * @param reply takes the answer
     */
    void ask(Ask ask, Consumer<HttpDocument> reply) {
        if (!follower.isLoaded()) {
            reply.accept(HttpDocument.text(503, "text/plain", "no facts are known yet\n"));
            return;
        }
        boolean noUseInWaiting = follower.isStale() || waiting.isFull();
        if (hasNews(ask) || noUseInWaiting || ask.patience().isZero()) {
            answer(ask, reply);
            return;
        }
        Duration wait = ask.patience().compareTo(LONGEST_WAIT) < 0 ? ask.patience() : LONGEST_WAIT;
        Waiting one = new Waiting(ask, follower.age(), timers.nanoTime(), reply);
        waiting.add(one, wait, this::answer);
    }

    /** Answers those who wait, because there is news or these facts are fresher. */
    void refreshed() {
        waiting.removeReady(one -> hasNews(one.ask()) || isFresher(one), this::answer);
    }

    private boolean hasNews(Ask ask) {
        return ask.after() == 0 || facts.hasChangesAfter(ask.after());
    }

    private boolean isFresher(Waiting one) {
        Duration sinceAsked = Duration.ofNanos(timers.nanoTime() - one.sinceNanos());
        Duration gained = one.ageAsked().plus(sinceAsked).minus(follower.age());
        return gained.compareTo(PROGRESS) > 0;
    }

    private void answer(Waiting one) {
        answer(one.ask(), one.reply());
    }

    private void answer(Ask ask, Consumer<HttpDocument> reply) {
        FactLog.Changes changes = facts.changesAfter(ask.after());
        FactReading.Builder reading = FactReading.newBuilder()
                .setRevision(changes.revision())
                .setWhole(changes.snapshot())
                .setAgeMillis(follower.age().toMillis())
                .addAllNodes(nodes.get());
        for (FactItem item : changes.items()) {
            reading.addItems(FactEntry.newBuilder()
                    .setKey(item.key())
                    .setValue(ByteString.copyFrom(item.value()))
                    .setRevision(item.revision())
                    .setRemoved(item.removed()));
        }
        byte[] bytes = reading.build().toByteArray();
        reply.accept(HttpDocument.bytes(200, ask.packed() ? Packing.pack(bytes) : bytes));
    }
}

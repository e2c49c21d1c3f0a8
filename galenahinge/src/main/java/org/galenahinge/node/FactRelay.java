package org.galenahinge.node;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.facts.FactFollower;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactLog;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.wire.generated.FactEntry;
import org.galenahinge.wire.generated.FactReading;

/** Passes facts on to other nodes, which ask for what is newer than what they hold. Belongs to one thread. */
final class FactRelay {
    private static final int MAXIMUM_WAITING = 1_000;
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(2);
    private static final Duration PROGRESS = Duration.ofMillis(200);

    private final FactLog facts;
    private final FactFollower follower;
    private final Timers timers;
    private final Supplier<List<String>> nodes;
    private final Predicate<FactItem> large;
    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(
            Ask ask, Duration ageAsked, long sinceNanos, Consumer<HttpDocument> reply, Timers.Timer timer) {}

    FactRelay(
            FactLog facts,
            FactFollower follower,
            Timers timers,
            Supplier<List<String>> nodes,
            Predicate<FactItem> large) {
        this.facts = Objects.requireNonNull(facts, "facts");
        this.follower = Objects.requireNonNull(follower, "follower");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.nodes = Objects.requireNonNull(nodes, "nodes");
        this.large = Objects.requireNonNull(large, "large");
    }

    /**
     * What a node asks.
     *
     * @param after the revision that it holds
     * @param patience how long it waits for a change
     * @param slim whether it does without the large items
     * @param packed whether the answer is to be compressed, because it crosses a thin link
     */
    record Ask(long after, Duration patience, boolean slim, boolean packed) {}

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
        boolean noUseInWaiting = follower.isStale() || waiting.size() >= MAXIMUM_WAITING;
        if (hasNews(ask) || noUseInWaiting || ask.patience().isZero()) {
            answer(ask, reply);
            return;
        }
        Duration wait = ask.patience().compareTo(LONGEST_WAIT) < 0 ? ask.patience() : LONGEST_WAIT;
        Waiting[] holder = new Waiting[1];
        Timers.Timer timer = timers.schedule(wait, () -> {
            waiting.remove(holder[0]);
            answer(ask, reply);
        });
        holder[0] = new Waiting(ask, follower.age(), timers.nanoTime(), reply, timer);
        waiting.add(holder[0]);
    }

    /** Answers those who wait, because there is news or these facts are fresher. */
    void refreshed() {
        for (Waiting one : List.copyOf(waiting)) {
            if (hasNews(one.ask()) || isFresher(one)) {
                waiting.remove(one);
                one.timer().cancel();
                answer(one.ask(), one.reply());
            }
        }
    }

    private boolean hasNews(Ask ask) {
        return ask.after() == 0
                || facts.changesAfter(ask.after()).items().stream().anyMatch(item -> isFor(item, ask.slim()));
    }

    private boolean isFresher(Waiting one) {
        Duration sinceAsked = Duration.ofNanos(timers.nanoTime() - one.sinceNanos());
        Duration gained = one.ageAsked().plus(sinceAsked).minus(follower.age());
        return gained.compareTo(PROGRESS) > 0;
    }

    private void answer(Ask ask, Consumer<HttpDocument> reply) {
        FactLog.Changes changes = facts.changesAfter(ask.after());
        FactReading.Builder reading = FactReading.newBuilder()
                .setRevision(changes.revision())
                .setWhole(changes.whole())
                .setAgeMillis(follower.age().toMillis())
                .addAllNodes(nodes.get());
        for (FactItem item : changes.items()) {
            if (isFor(item, ask.slim())) {
                reading.addItems(FactEntry.newBuilder()
                        .setKey(item.key())
                        .setValue(ByteString.copyFrom(item.value()))
                        .setRevision(item.revision())
                        .setRemoved(item.removed()));
            }
        }
        byte[] bytes = reading.build().toByteArray();
        reply.accept(HttpDocument.bytes(200, ask.packed() ? Packing.pack(bytes) : bytes));
    }

    private boolean isFor(FactItem item, boolean slim) {
        return !slim || !large.test(item);
    }
}

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

    private final FactLog facts;
    private final FactFollower follower;
    private final Timers timers;
    private final Supplier<List<String>> nodes;
    private final Predicate<FactItem> large;
    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(long after, boolean slim, Consumer<HttpDocument> reply, Timers.Timer timer) {}

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
     * Answers a node.
     *
     * @param after the revision that it holds
     * @param waitMillis how long it waits for a change
     * @param slim whether it does without the large items
     * @param reply takes the answer
     */
    void ask(long after, long waitMillis, boolean slim, Consumer<HttpDocument> reply) {
        if (!follower.isLoaded()) {
            reply.accept(HttpDocument.text(503, "text/plain", "no facts are known yet\n"));
            return;
        }
        boolean news = after == 0 || facts.changesAfter(after).items().stream().anyMatch(item -> isFor(item, slim));
        if (news || waiting.size() >= MAXIMUM_WAITING || waitMillis <= 0) {
            answer(after, slim, reply);
            return;
        }
        Duration wait = Duration.ofMillis(Math.min(waitMillis, LONGEST_WAIT.toMillis()));
        Waiting[] holder = new Waiting[1];
        Timers.Timer timer = timers.schedule(wait, () -> {
            waiting.remove(holder[0]);
            answer(after, slim, reply);
        });
        holder[0] = new Waiting(after, slim, reply, timer);
        waiting.add(holder[0]);
    }

    /** Answers those who wait, because there is news. */
    void changed() {
        for (Waiting one : List.copyOf(waiting)) {
            boolean news = facts.changesAfter(one.after()).items().stream().anyMatch(item -> isFor(item, one.slim()));
            if (news) {
                waiting.remove(one);
                one.timer().cancel();
                answer(one.after(), one.slim(), one.reply());
            }
        }
    }

    private void answer(long after, boolean slim, Consumer<HttpDocument> reply) {
        FactLog.Changes changes = facts.changesAfter(after);
        FactReading.Builder reading = FactReading.newBuilder()
                .setRevision(changes.revision())
                .setWhole(changes.whole())
                .setAgeMillis(follower.age().toMillis())
                .addAllNodes(nodes.get());
        for (FactItem item : changes.items()) {
            if (isFor(item, slim)) {
                reading.addItems(FactEntry.newBuilder()
                        .setKey(item.key())
                        .setValue(ByteString.copyFrom(item.value()))
                        .setRevision(item.revision())
                        .setRemoved(item.removed()));
            }
        }
        reply.accept(HttpDocument.bytes(200, reading.build().toByteArray()));
    }

    private boolean isFor(FactItem item, boolean slim) {
        return !slim || !large.test(item);
    }
}

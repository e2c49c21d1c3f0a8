package org.galenahinge.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.function.BiConsumer;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.generated.GossipRecord;

/**
 * Spreads among the entries what one of them observes of an upstream. News is sent to a few random entries, which send it on
 * in turn; an entry that has just joined, or that stood still, asks a few others for everything. Sends next to nothing while
 * there is nothing to tell, and its cost does not grow with the number of entries. Not thread-safe.
 */
final class EntryGossip {
    private static final Duration INTERVAL = Duration.ofMillis(200);

    /** The interval while nothing is known. */
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(400);

    /** How long a node passes on what it has learnt: long enough to reach all entries of a large fleet. */
    private static final Duration NEWS_TIME = Duration.ofMillis(1_500);

    /** One datagram to one entry at this interval replaces those that were lost. */
    private static final Duration REPAIR_INTERVAL = Duration.ofSeconds(1);

    private static final Duration CATCH_UP_TIME = Duration.ofMillis(2_500);
    private static final Duration STALL_TIME = Duration.ofSeconds(1);
    private static final int FANOUT = 3;

    private final NodeAddress self;
    private final EntryRoster roster;
    private final List<GossipSource> sources;
    private final BiConsumer<WireAddress, byte[]> sender;
    private final Timers timers;
    private final Random random;
    private long lastTickNanos;
    private long catchUpUntilNanos;
    private long nextRepairNanos;
    private int nextRepaired;

    EntryGossip(
            NodeAddress self,
            EntryRoster roster,
            List<GossipSource> sources,
            BiConsumer<WireAddress, byte[]> sender,
            Timers timers,
            long seed) {
        this.self = Objects.requireNonNull(self, "self");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.sources = List.copyOf(sources);
        this.sender = Objects.requireNonNull(sender, "sender");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.random = new Random(seed);
    }

    /** Starts spreading, and asks other entries for what they know. */
    void start() {
        lastTickNanos = timers.nanoTime();
        catchUpUntilNanos = lastTickNanos + CATCH_UP_TIME.toNanos();
        nextRepairNanos = lastTickNanos;
        tick();
    }

    /** Handles a datagram of another entry. */
    void receive(GossipCodec.Received received) {
        long now = timers.nanoTime();
        for (GossipRecord gossiped : received.records()) {
            sources.forEach(source -> source.receive(gossiped, now));
        }
        if (received.requestsAll()) {
            send(List.of(received.sender()), all(now));
        }
    }

    private void tick() {
        long now = timers.nanoTime();
        if (now - lastTickNanos >= STALL_TIME.toNanos()) {
            catchUpUntilNanos = now + CATCH_UP_TIME.toNanos();
        }
        lastTickNanos = now;
        List<WireAddress> receivers = randomEntries();
        if (now - catchUpUntilNanos < 0) {
            byte[] request = GossipCodec.encodeRequest(self.gossip());
            receivers.forEach(entry -> sender.accept(entry, request));
        }
        List<GossipRecord> news = new ArrayList<>();
        sources.forEach(source -> news.addAll(source.changedWithin(NEWS_TIME, now)));
        send(receivers, news);
        repair(receivers, now);
        timers.schedule(news.isEmpty() ? IDLE_INTERVAL : INTERVAL, this::tick);
    }

    private void repair(List<WireAddress> receivers, long now) {
        if (receivers.isEmpty() || now - nextRepairNanos < 0) {
            return;
        }
        nextRepairNanos = now + REPAIR_INTERVAL.toNanos();
        List<GossipRecord> all = all(now);
        if (all.isEmpty()) {
            return;
        }
        Collections.rotate(all, -(nextRepaired % all.size()));
        List<byte[]> datagrams = GossipCodec.encode(self.gossip(), all);
        sender.accept(receivers.get(0), datagrams.get(0));
        nextRepaired = (nextRepaired + Math.max(1, all.size() / datagrams.size())) % all.size();
    }

    private List<GossipRecord> all(long now) {
        List<GossipRecord> all = new ArrayList<>();
        sources.forEach(source -> all.addAll(source.all(now)));
        return all;
    }

    private void send(List<WireAddress> receivers, List<GossipRecord> records) {
        List<byte[]> datagrams = GossipCodec.encode(self.gossip(), records);
        for (WireAddress receiver : receivers) {
            datagrams.forEach(datagram -> sender.accept(receiver, datagram));
        }
    }

    private List<WireAddress> randomEntries() {
        List<NodeAddress> up = roster.up();
        List<WireAddress> chosen = new ArrayList<>(FANOUT);
        int first = up.isEmpty() ? 0 : random.nextInt(up.size());
        int step = up.size() < 2 ? 1 : 1 + random.nextInt(up.size() - 1);
        for (int number = 0; number < up.size() && chosen.size() < FANOUT; number++) {
            NodeAddress entry = up.get((first + number * step) % up.size());
            if (!entry.equals(self) && !chosen.contains(entry.gossip())) {
                chosen.add(entry.gossip());
            }
        }
        return chosen;
    }
}

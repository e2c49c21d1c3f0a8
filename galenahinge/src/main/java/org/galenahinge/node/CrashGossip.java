package org.galenahinge.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.galenahinge.quarantine.PromptPart;
import org.galenahinge.wire.WireAddress;

/**
 * Spreads the crashes of engines among the entries, so that all of them decide by the same ones. News is sent to a few random
 * entries, which send it on in turn; an entry that has just joined, or that stood still, asks a few others for all crashes.
 * Sends nothing while no crash is known, and its cost does not grow with the number of entries. Not thread-safe.
 */
final class CrashGossip {
    private static final Duration INTERVAL = Duration.ofMillis(200);

    /** The interval while no crash is known. */
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
    private final CrashLedger ledger;
    private final BiConsumer<WireAddress, byte[]> sender;
    private final Timers timers;
    private final EventLog log;
    private final Random random;
    private List<Set<PromptPart>> quarantined = List.of();
    private long lastTickNanos;
    private long catchUpUntilNanos;
    private long nextRepairNanos;
    private int nextRepaired;

    CrashGossip(
            NodeAddress self,
            EntryRoster roster,
            CrashLedger ledger,
            BiConsumer<WireAddress, byte[]> sender,
            Timers timers,
            EventLog log,
            long seed) {
        this.self = Objects.requireNonNull(self, "self");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.log = Objects.requireNonNull(log, "log");
        this.random = new Random(seed);
    }

    /** Starts spreading, and asks other entries for the crashes that they know. */
    void start() {
        lastTickNanos = timers.nanoTime();
        catchUpUntilNanos = lastTickNanos + CATCH_UP_TIME.toNanos();
        tick();
    }

    /** Handles a datagram of another entry. */
    void receive(CrashCodec.Received received) {
        long now = timers.nanoTime();
        received.crashes().forEach(crash -> ledger.add(crash, now));
        logQuarantine(now);
        if (received.requestsAll()) {
            send(List.of(received.sender()), ledger.all(now));
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
            byte[] request = CrashCodec.encodeRequest(self.crashes());
            receivers.forEach(entry -> sender.accept(entry, request));
        }
        if (!ledger.isEmpty()) {
            send(receivers, ledger.changedWithin(NEWS_TIME, now));
            repair(receivers, now);
            logQuarantine(now);
        }
        timers.schedule(ledger.isEmpty() ? IDLE_INTERVAL : INTERVAL, this::tick);
    }

    private void repair(List<WireAddress> receivers, long now) {
        List<AgedCrash> all = ledger.all(now);
        if (all.isEmpty() || receivers.isEmpty() || now - nextRepairNanos < 0) {
            return;
        }
        nextRepairNanos = now + REPAIR_INTERVAL.toNanos();
        Collections.rotate(all, -(nextRepaired % all.size()));
        List<byte[]> datagrams = CrashCodec.encode(self.crashes(), all);
        sender.accept(receivers.get(0), datagrams.get(0));
        nextRepaired += Math.max(1, all.size() / datagrams.size());
    }

    private void send(List<WireAddress> receivers, List<AgedCrash> crashes) {
        List<byte[]> datagrams = CrashCodec.encode(self.crashes(), crashes);
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
            if (!entry.equals(self) && !chosen.contains(entry.crashes())) {
                chosen.add(entry.crashes());
            }
        }
        return chosen;
    }

    private void logQuarantine(long now) {
        List<Set<PromptPart>> current = ledger.quarantined(now);
        if (current.equals(quarantined)) {
            return;
        }
        quarantined = current;
        log.event(Category.BELIEF, "quarantine")
                .with("causes", current.size())
                .with(
                        "parts",
                        PromptPart.join(current.stream().flatMap(Set::stream).toList()))
                .with("crashes", ledger.all(now).size())
                .write();
    }
}

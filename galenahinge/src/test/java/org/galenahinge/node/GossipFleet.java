package org.galenahinge.node;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.wire.WireAddress;

/** Entries that exchange gossip over a network that loses datagrams, and that start again or are cut off. */
final class GossipFleet {
    static final Duration STABLE_WINDOW = Duration.ofSeconds(3);

    private static final Duration NETWORK_DELAY = Duration.ofMillis(2);
    private static final double DATAGRAM_LOSS = 0.03;

    private final ManualTimers timers;
    private final Random random;
    private final List<Member> members = new ArrayList<>();
    private final Map<WireAddress, Member> byAddress = new HashMap<>();

    GossipFleet(int size, ManualTimers timers, Random random) {
        this.timers = timers;
        this.random = random;
        for (int number = 0; number < size; number++) {
            String ip = "10.0." + number / 250 + "." + number % 250;
            Member member = new Member(new NodeAddress("entry-" + number, "zone", ip, 1, 2, 3));
            members.add(member);
            byAddress.put(member.address.gossip(), member);
        }
        List<NodeAddress> addresses =
                members.stream().map(member -> member.address).toList();
        members.forEach(member -> member.roster.update(addresses));
    }

    List<Member> members() {
        return members;
    }

    /** One entry. */
    final class Member {
        private final NodeAddress address;
        private final EntryRoster roster = new EntryRoster("zone", 1);
        private EntryGossip gossip;
        private long startedNanos;
        private long cutUntilNanos = Long.MIN_VALUE / 2;
        private int incarnation;

        private Member(NodeAddress address) {
            this.address = address;
        }

        NodeAddress address() {
            return address;
        }

        EntryRoster roster() {
            return roster;
        }

        /** Starts the entry, or starts it again: its earlier incarnation sends nothing more. */
        void start(GossipSource source) {
            incarnation++;
            int sender = incarnation;
            startedNanos = timers.nanoTime();
            gossip = new EntryGossip(
                    address,
                    roster,
                    List.of(source),
                    (to, bytes) -> {
                        if (sender == incarnation) {
                            send(to, bytes);
                        }
                    },
                    timers,
                    random.nextLong());
            gossip.start();
        }

        void cutFor(Duration time) {
            cutUntilNanos = timers.nanoTime() + time.toNanos();
        }

        boolean isCut() {
            return timers.nanoTime() - cutUntilNanos < 0;
        }

        /** Machines that were started or cut off less than a stable window ago are excused from rules. */
        boolean isInTouch() {
            return timers.nanoTime() - startedNanos > STABLE_WINDOW.toNanos()
                    && timers.nanoTime() - cutUntilNanos > STABLE_WINDOW.toNanos();
        }

        private void send(WireAddress to, byte[] bytes) {
            Member receiver = byAddress.get(to);
            if (isCut() || receiver.isCut() || receiver.gossip == null || random.nextDouble() < DATAGRAM_LOSS) {
                return;
            }
            timers.schedule(
                    NETWORK_DELAY,
                    () -> receiver.gossip.receive(
                            GossipCodec.decode(ByteBuffer.wrap(bytes)).orElseThrow()));
        }
    }
}

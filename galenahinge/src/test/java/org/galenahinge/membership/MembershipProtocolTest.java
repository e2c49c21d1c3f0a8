package org.galenahinge.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.galenahinge.membership.MemberState.Status;
import org.galenahinge.membership.MembershipMessages.Outgoing;
import org.galenahinge.membership.MembershipProtocol.Timing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipProtocolTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    @ParameterizedTest
    @ValueSource(ints = {3, 10, 60})
    void everyMemberDetectsADeadOne(int size) {
        Members members = new Members(size, 0, 1);
        members.run(5);
        members.unresponsive.add("m-0");
        members.run(40);

        assertThat(members.statusesOf("m-0")).containsOnly(Status.DEAD);
        assertThat(members.statusesOf("m-1")).containsOnly(Status.ALIVE);
    }

    /** What is derived from all members is built anew only when one of them changed, not with each message. */
    @Test
    void countsNoChangesWhileAllMembersAreUp() {
        Members members = new Members(20, 0, 1);
        members.run(5);
        long before = members.protocols.get("m-1").changes();
        members.run(20);
        assertThat(members.protocols.get("m-1").changes()).isEqualTo(before);
        members.unresponsive.add("m-0");
        members.run(40);
        assertThat(members.protocols.get("m-1").changes()).isGreaterThan(before);
    }

    @Test
    void spreadsASuspicionToManyMembersWithinSeconds() {
        Members members = new Members(200, 0.05, 9);
        members.run(4);
        members.unresponsive.add("m-0");
        members.run(12);

        assertThat(members.statusesOf("m-0")).doesNotContain(Status.ALIVE);
    }

    @Test
    void declaresNoLiveMemberDeadAtFivePercentMessageLoss() {
        Members members = new Members(40, 0.05, 2);
        members.run(120);

        assertThat(members.everDead).isEmpty();
    }

    @Test
    void spreadsWithinSecondsThatAMemberLeaves() {
        Members members = new Members(20, 0, 3);
        members.run(5);
        members.deliver("m-0", members.protocols.get("m-0").leave());
        members.run(3);

        assertThat(members.statusesOf("m-0")).containsOnly(Status.LEFT);
    }

    @Test
    void treatsADeadMemberAsAliveAgainWhenItReturns() {
        Members members = new Members(10, 0, 4);
        members.run(5);
        members.unresponsive.add("m-0");
        members.run(30);
        members.unresponsive.remove("m-0");
        members.run(40);

        assertThat(members.statusesOf("m-0")).containsOnly(Status.ALIVE);
    }

    @Test
    void recoversFromAPartition() {
        Members members = new Members(20, 0, 5);
        members.run(5);
        members.partitionActive = true;
        members.run(40);
        assertThat(members.statusesOf("m-0")).contains(Status.DEAD);
        members.partitionActive = false;
        members.run(60);

        for (int index = 0; index < 20; index++) {
            assertThat(members.statusesOf("m-" + index)).containsOnly(Status.ALIVE);
        }
    }

    @Test
    void declaresNobodyDeadAfterALongPauseUntilAnotherMemberReplies() {
        MembershipProtocol protocol = MembershipProtocol.create("m-0", Timing.STANDARD, 6, 0);
        protocol.setListedMembers(List.of("m-0", "m-1"), 0);
        List<Outgoing> out = protocol.tick(SECOND_NANOS);
        assertThat(protocol.isRejoining()).isTrue();
        protocol.receive("m-1", acknowledgement(out), SECOND_NANOS);
        assertThat(protocol.isRejoining()).isFalse();

        protocol.tick(300 * SECOND_NANOS);
        assertThat(protocol.isRejoining()).isTrue();
        protocol.tick(301 * SECOND_NANOS);
        protocol.tick(302 * SECOND_NANOS);
        assertThat(protocol.find("m-1").orElseThrow().status()).isNotEqualTo(Status.DEAD);
    }

    @Test
    void messagesPerMemberDoNotGrowWithTheNumberOfMembers() {
        assertThat(messagesPerMember(200)).isLessThanOrEqualTo(messagesPerMember(20) * 1.1);
    }

    @Property(tries = 40, seed = "81")
    void mergesStatesIndependentlyOfTheirOrder(@ForAll long seed) {
        Random random = new Random(seed);
        List<MemberState> updates = new ArrayList<>();
        for (int count = 0; count < 20; count++) {
            Status status = List.of(Status.values()).get(random.nextInt(4));
            updates.add(new MemberState("m-1", random.nextInt(4), status, 0));
        }
        MemberState best = updates.stream()
                .reduce((one, other) -> other.supersedes(one) ? other : one)
                .orElseThrow();
        MembershipProtocol protocol = MembershipProtocol.create("m-0", Timing.STANDARD, seed, 0);
        updates.forEach(update -> protocol.receive("m-2", new MembershipMessages.Notice(List.of(update)), 1));

        MemberState held = protocol.find("m-1").orElseThrow();
        assertThat(held.stateVersion()).isEqualTo(best.stateVersion());
        assertThat(held.status()).isEqualTo(best.status());
    }

    private static double messagesPerMember(int size) {
        Members members = new Members(size, 0, 7);
        members.run(20);
        return members.sent / (double) size;
    }

    private static MembershipMessages acknowledgement(List<Outgoing> out) {
        MembershipMessages.Ping ping = (MembershipMessages.Ping) out.get(0).message();
        return new MembershipMessages.Acknowledgement(ping.sequence(), "m-1", List.of());
    }

    /** Simulates members that exchange messages without delay, in steps of a tenth of a second. */
    private static final class Members {
        private final Map<String, MembershipProtocol> protocols = new TreeMap<>();
        private final Set<String> unresponsive = new HashSet<>();
        private final Set<String> everDead = new HashSet<>();
        private final Random random;
        private final double loss;
        private boolean partitionActive;
        private long nowNanos;
        private long sent;

        Members(int size, double loss, long seed) {
            this.random = new Random(seed);
            this.loss = loss;
            List<String> names = new ArrayList<>();
            for (int index = 0; index < size; index++) {
                names.add("m-" + index);
            }
            for (String name : names) {
                MembershipProtocol protocol =
                        MembershipProtocol.create(name, Timing.STANDARD, seed + name.hashCode(), 0);
                protocol.setListedMembers(names, 0);
                protocols.put(name, protocol);
            }
        }

        void run(int seconds) {
            long endNanos = nowNanos + Duration.ofSeconds(seconds).toNanos();
            while (nowNanos < endNanos) {
                nowNanos += SECOND_NANOS / 10;
                for (Map.Entry<String, MembershipProtocol> entry : protocols.entrySet()) {
                    if (!unresponsive.contains(entry.getKey())) {
                        deliver(entry.getKey(), entry.getValue().tick(nowNanos));
                    }
                }
            }
        }

        void deliver(String from, List<Outgoing> messages) {
            for (Outgoing outgoing : messages) {
                sent++;
                boolean lost = unresponsive.contains(outgoing.to()) || random.nextDouble() < loss;
                boolean partitioned =
                        partitionActive && from.hashCode() % 2 != outgoing.to().hashCode() % 2;
                if (!lost && !partitioned) {
                    MembershipProtocol receiver = protocols.get(outgoing.to());
                    deliver(outgoing.to(), receiver.receive(from, outgoing.message(), nowNanos));
                    receiver.members().stream()
                            .filter(member -> member.status() == Status.DEAD)
                            .forEach(member -> everDead.add(member.vm()));
                }
            }
        }

        Set<Status> statusesOf(String member) {
            Map<String, Status> statuses = new HashMap<>();
            protocols.forEach((name, protocol) -> {
                if (!name.equals(member) && !unresponsive.contains(name)) {
                    statuses.put(name, protocol.find(member).orElseThrow().status());
                }
            });
            return new HashSet<>(statuses.values());
        }
    }
}

package org.galenahinge.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.galenahinge.weights.PullPlan.Member;
import org.galenahinge.weights.PullPlan.Pull;
import org.galenahinge.weights.PullPlan.Source;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PullPlanTest {
    private static final long ROUND_NANOS = 100_000_000L;

    @ParameterizedTest(name = "{0} VMs in {1} regions, {2} origin copies allowed, {3} dead")
    @CsvSource({"1,1,1,0", "6,3,1,0", "12,3,1,0", "12,3,2,0", "30,3,1,0", "30,3,1,3", "12,3,1,4"})
    void completesEveryVmWithinTheAllowedOriginCopies(int vms, int regions, int copies, int dead) {
        TransferSimulation simulation = new TransferSimulation(vms, regions, 40, copies, dead, 11);
        int rounds = simulation.run(2_000);

        assertThat(rounds).isLessThan(2_000);
        if (dead == 0) {
            assertThat(simulation.originPulls).isEqualTo(40 * Math.min(copies, regions));
        } else {
            assertThat(simulation.originPulls).isLessThanOrEqualTo(2 * 40);
        }
    }

    @Test
    void transfersEachChunkIntoEachRegionOnce() {
        TransferSimulation simulation = new TransferSimulation(30, 3, 60, 1, 0, 5);
        simulation.run(2_000);

        assertThat(simulation.regionCrossings).isEqualTo(2 * 60);
    }

    @Test
    void doesNotPullAChunkThatIsHeldOrInProgress() {
        PullPlan plan = PullPlan.create("vm-0", List.of("a", "b"), PullLimits.forOriginCopies(1), 1, 0);
        plan.setMembers(List.of(new Member("vm-0", "r")));

        assertThat(plan.nextPulls(1)).hasSize(2);
        assertThat(plan.nextPulls(2)).isEmpty();
        plan.recordHeld(0, 3);
        plan.endPull(new Pull(0, new Source.Origin(), false));
        assertThat(plan.nextPulls(4)).isEmpty();
    }

    @Test
    void pullsFromAnotherPeerAfterAFailure() {
        PullPlan plan = PullPlan.create("vm-0", List.of("a"), PullLimits.forOriginCopies(1), 1, 0);
        List<Member> members = List.of(new Member("vm-0", "r"), new Member("vm-1", "r"), new Member("vm-2", "r"));
        plan.setMembers(members);
        BitSet all = new BitSet();
        all.set(0);
        plan.setNeighbourChunks("vm-1", all);
        plan.setNeighbourChunks("vm-2", all);
        Pull first = plan.nextPulls(1).get(0);
        plan.recordFailure(first, 2);
        Pull second = plan.nextPulls(3).get(0);

        assertThat(second.source()).isNotEqualTo(first.source()).isInstanceOf(Source.Peer.class);
    }

    @Test
    void takesOverFromAnUnresponsiveFetcher() {
        PullPlan plan = PullPlan.create("vm-1", List.of("a", "b", "c", "d"), PullLimits.forOriginCopies(1), 1, 0);
        plan.setMembers(List.of(new Member("vm-0", "r"), new Member("vm-1", "r")));
        List<Integer> pulled = new ArrayList<>();
        for (long now = 0; now < 200 * ROUND_NANOS; now += ROUND_NANOS) {
            for (Pull pull : plan.nextPulls(now)) {
                pulled.add(pull.chunk());
                plan.recordHeld(pull.chunk(), now);
                plan.endPull(pull);
            }
        }

        assertThat(pulled).containsExactlyInAnyOrder(0, 1, 2, 3);
    }

    /** Simulates the transfer of chunks between VMs in rounds; a pull that can be served ends in a round by chance. */
    private static final class TransferSimulation {
        private final Map<String, PullPlan> plans = new LinkedHashMap<>();
        private final Map<String, String> regionOf = new LinkedHashMap<>();
        private final Set<String> dead = new HashSet<>();
        private final List<Member> members = new ArrayList<>();
        private final Random random;
        private int originPulls;
        private int regionCrossings;

        TransferSimulation(int vms, int regions, int chunks, int copies, int deadVms, long seed) {
            this.random = new Random(seed);
            List<String> hashes = new ArrayList<>();
            for (int chunk = 0; chunk < chunks; chunk++) {
                hashes.add("chunk-" + chunk);
            }
            for (int index = 0; index < vms; index++) {
                members.add(new Member("vm-" + index, "region-" + index % regions));
                regionOf.put("vm-" + index, "region-" + index % regions);
                if (index >= vms - deadVms) {
                    dead.add("vm-" + index);
                }
            }
            for (Member member : members) {
                PullPlan plan =
                        PullPlan.create(member.vm(), hashes, PullLimits.forOriginCopies(copies), seedOf(member), 0);
                plan.setMembers(members);
                plans.put(member.vm(), plan);
            }
        }

        int run(int maximumRounds) {
            Map<String, List<Pull>> pending = new LinkedHashMap<>();
            for (int round = 1; round <= maximumRounds; round++) {
                long now = round * ROUND_NANOS;
                for (String vm : plans.keySet()) {
                    if (!dead.contains(vm)) {
                        runVm(vm, pending.computeIfAbsent(vm, name -> new ArrayList<>()), now);
                    }
                }
                if (plans.keySet().stream()
                        .allMatch(vm -> dead.contains(vm) || plans.get(vm).isComplete())) {
                    return round;
                }
            }
            return maximumRounds;
        }

        private void runVm(String vm, List<Pull> pending, long now) {
            PullPlan plan = plans.get(vm);
            plan.neighbours().stream()
                    .filter(neighbour -> !dead.contains(neighbour))
                    .forEach(neighbour -> plan.setNeighbourChunks(
                            neighbour, plans.get(neighbour).heldChunks()));
            pending.addAll(plan.nextPulls(now));
            for (Pull pull : List.copyOf(pending)) {
                if (pull.source() instanceof Source.Peer peer && dead.contains(peer.vm())) {
                    pending.remove(pull);
                    plan.recordUnreachable(peer.vm(), now);
                    plan.recordFailure(pull, now);
                } else if (canDeliver(pull) && random.nextInt(3) > 0) {
                    pending.remove(pull);
                    deliver(vm, plan, pull, now);
                }
            }
        }

        private boolean canDeliver(Pull pull) {
            return !(pull.source() instanceof Source.Peer peer)
                    || plans.get(peer.vm()).heldChunks().get(pull.chunk());
        }

        private void deliver(String vm, PullPlan plan, Pull pull, long now) {
            if (pull.source() instanceof Source.Peer peer) {
                regionCrossings += regionOf.get(vm).equals(regionOf.get(peer.vm())) ? 0 : 1;
            } else {
                originPulls++;
            }
            plan.endPull(pull);
            plan.recordHeld(pull.chunk(), now);
        }

        private static long seedOf(Member member) {
            return member.vm().hashCode();
        }
    }
}

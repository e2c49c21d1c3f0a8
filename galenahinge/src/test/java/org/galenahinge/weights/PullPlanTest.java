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
    private static final long ROUND = 100_000_000L;

    @ParameterizedTest(name = "{0} VMs in {1} regions, {2} copies allowed, {3} dead")
    @CsvSource({"1,1,1,0", "6,3,1,0", "12,3,1,0", "12,3,2,0", "30,3,1,0", "30,3,1,3", "12,3,1,4"})
    void fillsEveryVmAndDrawsEachChunkAsOftenAsAllowed(int vms, int regions, int copies, int dead) {
        Spread spread = new Spread(vms, regions, 40, copies, dead, 11);
        int rounds = spread.run(2_000);

        assertThat(rounds).isLessThan(2_000);
        if (dead == 0) {
            assertThat(spread.originPulls).isEqualTo(40 * Math.min(copies, regions));
        } else {
            assertThat(spread.originPulls).isLessThanOrEqualTo(2 * 40);
        }
    }

    @Test
    void letsEachChunkEnterEachRegionOnce() {
        Spread spread = new Spread(30, 3, 60, 1, 0, 5);
        spread.run(2_000);

        assertThat(spread.crossings).isEqualTo(2 * 60);
    }

    @Test
    void doesNotPullAChunkThatIsHeldOrUnderWay() {
        PullPlan plan = PullPlan.create("vm-0", List.of("a", "b"), PullLimits.forOriginCopies(1), 1, 0);
        plan.members(List.of(new Member("vm-0", "r")));

        assertThat(plan.next(1)).hasSize(2);
        assertThat(plan.next(2)).isEmpty();
        plan.received(0, 3);
        plan.ended(new Pull(0, new Source.Origin(), false));
        assertThat(plan.next(4)).isEmpty();
    }

    @Test
    void asksElsewhereAfterASourceFailed() {
        PullPlan plan = PullPlan.create("vm-0", List.of("a"), PullLimits.forOriginCopies(1), 1, 0);
        List<Member> members = List.of(new Member("vm-0", "r"), new Member("vm-1", "r"), new Member("vm-2", "r"));
        plan.members(members);
        BitSet all = new BitSet();
        all.set(0);
        plan.possessed("vm-1", all);
        plan.possessed("vm-2", all);
        Pull first = plan.next(1).get(0);
        plan.failed(first, 2);
        Pull second = plan.next(3).get(0);

        assertThat(second.source()).isNotEqualTo(first.source()).isInstanceOf(Source.Peer.class);
    }

    @Test
    void stepsInForAGatewayThatStaysSilent() {
        PullPlan plan = PullPlan.create("vm-1", List.of("a", "b", "c", "d"), PullLimits.forOriginCopies(1), 1, 0);
        plan.members(List.of(new Member("vm-0", "r"), new Member("vm-1", "r")));
        List<Integer> drawn = new ArrayList<>();
        for (long now = 0; now < 200 * ROUND; now += ROUND) {
            for (Pull pull : plan.next(now)) {
                drawn.add(pull.chunk());
                plan.received(pull.chunk(), now);
                plan.ended(pull);
            }
        }

        assertThat(drawn).containsExactlyInAnyOrder(0, 1, 2, 3);
    }

    /** Moves chunks between plans in rounds: one chunk over each VM's link in a round. */
    private static final class Spread {
        private final Map<String, PullPlan> plans = new LinkedHashMap<>();
        private final Map<String, String> regionOf = new LinkedHashMap<>();
        private final Set<String> dead = new HashSet<>();
        private final List<Member> members = new ArrayList<>();
        private final Random random;
        private int originPulls;
        private int crossings;

        Spread(int vms, int regions, int chunks, int copies, int deadVms, long seed) {
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
                        PullPlan.create(member.vm(), hashes, PullLimits.forOriginCopies(copies), index(member), 0);
                plan.members(members);
                plans.put(member.vm(), plan);
            }
        }

        int run(int maximumRounds) {
            Map<String, List<Pull>> waiting = new LinkedHashMap<>();
            for (int round = 1; round <= maximumRounds; round++) {
                long now = round * ROUND;
                for (String vm : plans.keySet()) {
                    if (!dead.contains(vm)) {
                        move(vm, waiting.computeIfAbsent(vm, name -> new ArrayList<>()), now);
                    }
                }
                if (plans.keySet().stream()
                        .allMatch(vm -> dead.contains(vm) || plans.get(vm).isComplete())) {
                    return round;
                }
            }
            return maximumRounds;
        }

        private void move(String vm, List<Pull> waiting, long now) {
            PullPlan plan = plans.get(vm);
            plan.neighbours().stream()
                    .filter(neighbour -> !dead.contains(neighbour))
                    .forEach(neighbour ->
                            plan.possessed(neighbour, plans.get(neighbour).held()));
            waiting.addAll(plan.next(now));
            for (Pull pull : List.copyOf(waiting)) {
                if (pull.source() instanceof Source.Peer peer && dead.contains(peer.vm())) {
                    waiting.remove(pull);
                    plan.unreachable(peer.vm(), now);
                    plan.failed(pull, now);
                } else if (canDeliver(pull) && random.nextInt(3) > 0) {
                    waiting.remove(pull);
                    deliver(vm, plan, pull, now);
                }
            }
        }

        private boolean canDeliver(Pull pull) {
            return !(pull.source() instanceof Source.Peer peer)
                    || plans.get(peer.vm()).held().get(pull.chunk());
        }

        private void deliver(String vm, PullPlan plan, Pull pull, long now) {
            if (pull.source() instanceof Source.Peer peer) {
                crossings += regionOf.get(vm).equals(regionOf.get(peer.vm())) ? 0 : 1;
            } else {
                originPulls++;
            }
            plan.ended(pull);
            plan.received(pull.chunk(), now);
        }

        private static long index(Member member) {
            return member.vm().hashCode();
        }
    }
}

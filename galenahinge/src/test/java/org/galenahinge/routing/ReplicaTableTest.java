package org.galenahinge.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.galenahinge.routing.ReplicaTable.Choice;
import org.galenahinge.routing.ReplicaTable.Demand;
import org.galenahinge.routing.ReplicaTable.Why;
import org.junit.jupiter.api.Test;

class ReplicaTableTest {
    @Test
    void sendsTheSamePrefixToTheSameReplica() {
        ReplicaTable table = table(5, 8);

        String first = choose(table, 42).replica().orElseThrow().vm();
        for (int again = 0; again < 5; again++) {
            assertThat(choose(table, 42).replica().orElseThrow().vm()).isEqualTo(first);
        }
    }

    @Test
    void movesOnWhenTheFirstReplicaHoldsMoreThanItsShare() {
        ReplicaTable table = table(4, 8);
        String first = choose(table, 42).replica().orElseThrow().vm();
        ReplicaTable loaded = table.started(first).started(first).started(first);

        Choice choice = choose(loaded, 42);
        assertThat(choice.replica().orElseThrow().vm()).isNotEqualTo(first);
        assertThat(choice.why()).isEqualTo(Why.PREFIX_LOAD_BOUND);
    }

    @Test
    void neverChoosesOtherWeightsOrAnExcludedReplica() {
        ReplicaTable table = table(2, 8).report(report("vm-0", "inlay/2", true, 0, 8));

        for (long prefix = 0; prefix < 50; prefix++) {
            assertThat(choose(table, prefix).replica().orElseThrow().vm()).isEqualTo("vm-1");
        }
        Demand excluding = new Demand("inlay", List.of("inlay/1"), 1, Set.of("vm-1"), true);
        assertThat(table.choose(excluding, 0).why()).isEqualTo(Why.NONE_ABLE);
    }

    @Test
    void avoidsASuspectReplicaUnlessThereIsNoOther() {
        ReplicaTable table = table(2, 8);
        String first = choose(table, 42).replica().orElseThrow().vm();

        ReplicaTable one = table.suspect(first, 100);
        assertThat(choose(one, 42).replica().orElseThrow().vm()).isNotEqualTo(first);
        ReplicaTable both = one.suspect("vm-0", 100).suspect("vm-1", 100);
        assertThat(choose(both, 42).replica()).isPresent();
    }

    @Test
    void forgetsOnlyAReplicaWithoutCalls() {
        ReplicaTable table = table(1, 8).started("vm-0");

        assertThat(table.forget("vm-0").find("vm-0")).isPresent();
        assertThat(table.finished("vm-0").forget("vm-0").find("vm-0")).isEmpty();
    }

    @Test
    void countsItsOwnCallsBesideAReportThatIsLate() {
        ReplicaTable table = table(1, 8).started("vm-0").started("vm-0").report(report("vm-0", "inlay/1", true, 5, 8));

        assertThat(table.find("vm-0").orElseThrow().load()).isEqualTo(5);
        assertThat(table.started("vm-0").find("vm-0").orElseThrow().load()).isEqualTo(6);
        assertThat(table.finished("vm-0").find("vm-0").orElseThrow().load()).isEqualTo(4);
    }

    @Property(tries = 100, seed = "23")
    void keepsEveryReplicaNearItsShareOfTheLoad(@ForAll long seed) {
        Random random = new Random(seed);
        ReplicaTable table = table(6, 100);
        Map<String, Integer> load = new HashMap<>();
        for (int call = 0; call < 120; call++) {
            String vm = choose(table, random.nextInt(4)).replica().orElseThrow().vm();
            table = table.started(vm);
            load.merge(vm, 1, Integer::sum);
        }
        // A quarter above the mean of 20, and the rounding up of one call.
        assertThat(load.values()).allMatch(count -> count <= 26);
    }

    private static Choice choose(ReplicaTable table, long prefix) {
        return table.choose(new Demand("inlay", List.of("inlay/1"), prefix, Set.of(), true), 0);
    }

    private static ReplicaTable table(int replicas, int capacity) {
        ReplicaTable table = ReplicaTable.empty();
        for (int index = 0; index < replicas; index++) {
            table = table.report(report("vm-" + index, "inlay/1", true, 0, capacity));
        }
        return table;
    }

    private static Replica.Report report(String vm, String key, boolean ready, int load, int capacity) {
        return new Replica.Report(vm, "inlay", key, "fingerprint", ready, load, capacity);
    }
}

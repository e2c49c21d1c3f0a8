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
import org.galenahinge.routing.ReplicaTable.ChoiceReason;
import org.galenahinge.routing.ReplicaTable.Requirements;
import org.junit.jupiter.api.Test;

class ReplicaTableTest {
    @Test
    void sendsTheSamePrefixToTheSameReplica() {
        ReplicaTable table = table(5, 8);

        String first = choose(table, 42).replica().orElseThrow().vm();
        for (int repetition = 0; repetition < 5; repetition++) {
            assertThat(choose(table, 42).replica().orElseThrow().vm()).isEqualTo(first);
        }
    }

    @Test
    void usesTheNextReplicaWhenTheFirstExceedsTheLoadBound() {
        ReplicaTable table = table(4, 8);
        String first = choose(table, 42).replica().orElseThrow().vm();
        ReplicaTable loaded = table.recordStart(first).recordStart(first).recordStart(first);

        Choice choice = choose(loaded, 42);
        assertThat(choice.replica().orElseThrow().vm()).isNotEqualTo(first);
        assertThat(choice.reason()).isEqualTo(ChoiceReason.PREFIX_LOAD_BOUND);
    }

    @Test
    void neverChoosesOtherWeightsOrAnExcludedReplica() {
        ReplicaTable table = table(2, 8).recordReport(report("vm-0", "inlay/2", true, 0, 8));

        for (long prefix = 0; prefix < 50; prefix++) {
            assertThat(choose(table, prefix).replica().orElseThrow().vm()).isEqualTo("vm-1");
        }
        Requirements excluding = new Requirements("inlay", List.of("inlay/1"), 1, Set.of("vm-1"), true);
        assertThat(table.choose(excluding, 0).reason()).isEqualTo(ChoiceReason.NONE_ABLE);
    }

    @Test
    void avoidsASuspectReplicaUnlessAllAreSuspect() {
        ReplicaTable table = table(2, 8);
        String first = choose(table, 42).replica().orElseThrow().vm();

        ReplicaTable one = table.markSuspect(first, 100);
        assertThat(choose(one, 42).replica().orElseThrow().vm()).isNotEqualTo(first);
        ReplicaTable both = one.markSuspect("vm-0", 100).markSuspect("vm-1", 100);
        assertThat(choose(both, 42).replica()).isPresent();
    }

    @Test
    void removesOnlyAReplicaWithoutRequestsInFlight() {
        ReplicaTable table = table(1, 8).recordStart("vm-0");

        assertThat(table.removeIfIdle("vm-0").find("vm-0")).isPresent();
        assertThat(table.recordEnd("vm-0").removeIfIdle("vm-0").find("vm-0")).isEmpty();
    }

    @Test
    void addsRequestsStartedSinceTheLastReportToTheReportedLoad() {
        ReplicaTable table =
                table(1, 8).recordStart("vm-0").recordStart("vm-0").recordReport(report("vm-0", "inlay/1", true, 5, 8));

        assertThat(table.find("vm-0").orElseThrow().load()).isEqualTo(5);
        assertThat(table.recordStart("vm-0").find("vm-0").orElseThrow().load()).isEqualTo(6);
        assertThat(table.recordEnd("vm-0").find("vm-0").orElseThrow().load()).isEqualTo(4);
    }

    @Property(tries = 100, seed = "23")
    void keepsEveryReplicaBelowTheLoadBound(@ForAll long seed) {
        Random random = new Random(seed);
        ReplicaTable table = table(6, 100);
        Map<String, Integer> load = new HashMap<>();
        for (int request = 0; request < 120; request++) {
            String vm = choose(table, random.nextInt(4)).replica().orElseThrow().vm();
            table = table.recordStart(vm);
            load.merge(vm, 1, Integer::sum);
        }
        // 1.25 times the mean of 20, plus one request for rounding up.
        assertThat(load.values()).allMatch(count -> count <= 26);
    }

    private static Choice choose(ReplicaTable table, long prefix) {
        return table.choose(new Requirements("inlay", List.of("inlay/1"), prefix, Set.of(), true), 0);
    }

    private static ReplicaTable table(int replicas, int capacity) {
        ReplicaTable table = ReplicaTable.empty();
        for (int index = 0; index < replicas; index++) {
            table = table.recordReport(report("vm-" + index, "inlay/1", true, 0, capacity));
        }
        return table;
    }

    private static Replica.Report report(String vm, String weightsKey, boolean ready, int load, int capacity) {
        return new Replica.Report(vm, "inlay", weightsKey, "fingerprint", ready, load, capacity);
    }
}

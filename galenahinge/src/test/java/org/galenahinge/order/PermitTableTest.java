package org.galenahinge.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.galenahinge.order.PermitTable.Beginning;
import org.junit.jupiter.api.Test;

class PermitTableTest {
    private static final byte[] SECRET = {1, 2, 3};

    private final PermitTable<String> table = PermitTable.create("vm-1", 77, SECRET, 4, 10);

    @Test
    void letsAPermitRunOnce() {
        Permit permit = table.issue().orElseThrow();

        assertThat(table.begin(permit)).isInstanceOf(Beginning.Run.class);
        assertThat(table.begin(permit)).isInstanceOf(Beginning.InProgress.class);
        table.answered(permit, "yes", 3);
        assertThat(table.begin(permit)).isEqualTo(new Beginning.Kept<>("yes"));
    }

    @Test
    void neverRunsAPermitThatWasWithdrawn() {
        Permit permit = begun();
        table.withdrawn(permit);

        assertThat(table.begin(permit)).isInstanceOf(Beginning.Withdrawn.class);
    }

    @Test
    void saysThatAPermitOfAnotherIncarnationMayHaveRun() {
        Permit permit = table.issue().orElseThrow();
        PermitTable<String> successor = PermitTable.create("vm-1", 78, SECRET, 4, 10);

        assertThat(successor.begin(permit)).isInstanceOf(Beginning.OutcomeUnknown.class);
    }

    @Test
    void saysThatAPermitThatFellOutOfTheWindowMayHaveRun() {
        Permit first = table.issue().orElseThrow();
        for (int count = 0; count < 4; count++) {
            table.issue();
        }

        assertThat(table.begin(first)).isInstanceOf(Beginning.OutcomeUnknown.class);
        assertThat(table.size()).isEqualTo(4);
    }

    @Test
    void issuesNothingWhileTheOldestPermitRuns() {
        begun();
        for (int count = 0; count < 3; count++) {
            table.issue();
        }

        assertThat(table.issue()).isEmpty();
    }

    @Test
    void saysThatACallWhoseAnswerWasDroppedMayHaveRun() {
        Permit first = begun();
        table.answered(first, "12345678", 8);
        Permit second = begun();
        table.answered(second, "12345", 5);

        assertThat(table.begin(first)).isInstanceOf(Beginning.OutcomeUnknown.class);
        assertThat(table.begin(second)).isEqualTo(new Beginning.Kept<>("12345"));
    }

    @Test
    void refusesAForgedPermit() {
        Permit permit = table.issue().orElseThrow();
        Permit forged = new Permit("vm-1", 77, permit.sequence(), "0000000000000000");

        assertThat(table.begin(forged)).isInstanceOf(Beginning.Forged.class);
        assertThat(table.begin(permit)).isInstanceOf(Beginning.Run.class);
    }

    @Test
    void refusesToEndACallThatDoesNotRun() {
        Permit permit = table.issue().orElseThrow();

        assertThatThrownBy(() -> table.lost(permit)).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void readsItsOwnTextBack() {
        Permit permit = table.issue().orElseThrow();

        assertThat(Permit.parse(permit.text())).contains(permit);
        assertThat(Permit.parse("order-1")).isEmpty();
    }

    @Property(tries = 400, seed = "91")
    void runsEachPermitAtMostOnceWhateverHappens(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 119) Integer> steps) {
        PermitTable<String> random = PermitTable.create("vm-1", 5, SECRET, 6, 20);
        List<Permit> known = new ArrayList<>();
        Map<Long, Integer> runs = new HashMap<>();
        List<Permit> running = new ArrayList<>();
        for (int step : steps) {
            int choice = step % 5;
            if (choice == 0) {
                random.issue().ifPresent(known::add);
            } else if (choice <= 2 && !known.isEmpty()) {
                Permit permit = known.get(step / 5 % known.size());
                if (random.begin(permit) instanceof Beginning.Run<String>) {
                    runs.merge(permit.sequence(), 1, Integer::sum);
                    running.add(permit);
                }
            } else if (!running.isEmpty()) {
                end(random, running.remove(step / 5 % running.size()), step);
            }
        }
        assertThat(runs.values()).allMatch(count -> count == 1);
    }

    private static void end(PermitTable<String> table, Permit permit, int how) {
        if (how % 3 == 0) {
            table.lost(permit);
        } else if (how % 3 == 1) {
            table.withdrawn(permit);
        } else {
            table.answered(permit, "answer", 6);
        }
    }

    private Permit begun() {
        Optional<Permit> permit = table.issue();
        assertThat(table.begin(permit.orElseThrow())).isInstanceOf(Beginning.Run.class);
        return permit.get();
    }
}

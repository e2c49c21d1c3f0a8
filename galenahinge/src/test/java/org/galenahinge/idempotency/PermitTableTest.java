package org.galenahinge.idempotency;

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
import org.galenahinge.idempotency.PermitTable.StartResult;
import org.junit.jupiter.api.Test;

class PermitTableTest {
    private static final byte[] SECRET = {1, 2, 3};

    private final PermitTable<String> table = PermitTable.create("vm-1", 77, SECRET, 4, 10);

    @Test
    void runsAPermitOnlyOnce() {
        Permit permit = table.issue().orElseThrow();

        assertThat(table.start(permit)).isInstanceOf(StartResult.Run.class);
        assertThat(table.start(permit)).isInstanceOf(StartResult.InProgress.class);
        table.recordAnswered(permit, "yes", 3);
        assertThat(table.start(permit)).isEqualTo(new StartResult.Cached<>("yes"));
    }

    @Test
    void neverRunsAWithdrawnPermit() {
        Permit permit = issueAndStart();
        table.withdraw(permit);

        assertThat(table.start(permit)).isInstanceOf(StartResult.Withdrawn.class);
    }

    @Test
    void reportsUnknownOutcomeForAPermitOfAnotherIncarnation() {
        Permit permit = table.issue().orElseThrow();
        PermitTable<String> successor = PermitTable.create("vm-1", 78, SECRET, 4, 10);

        assertThat(successor.start(permit)).isInstanceOf(StartResult.OutcomeUnknown.class);
    }

    @Test
    void reportsUnknownOutcomeForAPermitOutsideTheWindow() {
        Permit first = table.issue().orElseThrow();
        for (int count = 0; count < 4; count++) {
            table.issue();
        }

        assertThat(table.start(first)).isInstanceOf(StartResult.OutcomeUnknown.class);
        assertThat(table.size()).isEqualTo(4);
    }

    @Test
    void issuesNoPermitWhileTheOldestPermitOfTheWindowRuns() {
        issueAndStart();
        for (int count = 0; count < 3; count++) {
            table.issue();
        }

        assertThat(table.issue()).isEmpty();
    }

    @Test
    void reportsUnknownOutcomeWhenTheCachedResponseWasEvicted() {
        Permit first = issueAndStart();
        table.recordAnswered(first, "12345678", 8);
        Permit second = issueAndStart();
        table.recordAnswered(second, "12345", 5);

        assertThat(table.start(first)).isInstanceOf(StartResult.OutcomeUnknown.class);
        assertThat(table.start(second)).isEqualTo(new StartResult.Cached<>("12345"));
    }

    @Test
    void rejectsAForgedPermit() {
        Permit permit = table.issue().orElseThrow();
        Permit forged = new Permit("vm-1", 77, permit.sequence(), "0000000000000000");

        assertThat(table.start(forged)).isInstanceOf(StartResult.Forged.class);
        assertThat(table.start(permit)).isInstanceOf(StartResult.Run.class);
    }

    @Test
    void rejectsAnOutcomeForAPermitThatIsNotRunning() {
        Permit permit = table.issue().orElseThrow();

        assertThatThrownBy(() -> table.recordLost(permit)).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void parsesThePermitFromItsText() {
        Permit permit = table.issue().orElseThrow();

        assertThat(Permit.parse(permit.text())).contains(permit);
        assertThat(Permit.parse("order-1")).isEmpty();
    }

    @Property(tries = 400, seed = "91")
    void runsEachPermitAtMostOnceForAnySequenceOfSteps(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 119) Integer> steps) {
        PermitTable<String> random = PermitTable.create("vm-1", 5, SECRET, 6, 20);
        List<Permit> issued = new ArrayList<>();
        Map<Long, Integer> runs = new HashMap<>();
        List<Permit> running = new ArrayList<>();
        for (int step : steps) {
            int choice = step % 5;
            if (choice == 0) {
                random.issue().ifPresent(issued::add);
            } else if (choice <= 2 && !issued.isEmpty()) {
                Permit permit = issued.get(step / 5 % issued.size());
                if (random.start(permit) instanceof StartResult.Run<String>) {
                    runs.merge(permit.sequence(), 1, Integer::sum);
                    running.add(permit);
                }
            } else if (!running.isEmpty()) {
                recordOutcome(random, running.remove(step / 5 % running.size()), step);
            }
        }
        assertThat(runs.values()).allMatch(count -> count == 1);
    }

    private static void recordOutcome(PermitTable<String> table, Permit permit, int step) {
        if (step % 3 == 0) {
            table.recordLost(permit);
        } else if (step % 3 == 1) {
            table.withdraw(permit);
        } else {
            table.recordAnswered(permit, "answer", 6);
        }
    }

    private Permit issueAndStart() {
        Optional<Permit> permit = table.issue();
        assertThat(table.start(permit.orElseThrow())).isInstanceOf(StartResult.Run.class);
        return permit.get();
    }
}

package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenahinge.placement.RepeatBudget.Terms;

class RepeatBudgetTest {
    private static final Terms TERMS = new Terms(0.2, 100, Duration.ofSeconds(10));
    private static final long MILLI = 1_000_000L;

    /** Many nodes that never talk, with uneven traffic and a restart of each: the sum stays within the bound. */
    @Property(tries = 60, seed = "4711")
    void sumOverAllNodesStaysWithinTheBound(@ForAll @IntRange(min = 1, max = 12) int nodes, @ForAll long seed) {
        Random random = new Random(seed);
        List<RepeatBudget> budgets = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            budgets.add(RepeatBudget.create(TERMS, 0));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        boolean[] restarted = new boolean[nodes];
        for (long at = 0; at < 40_000; at += 5) {
            int node = (int) (Math.pow(random.nextDouble(), 2) * nodes);
            RepeatBudget budget = budgets.get(node);
            if (at > 15_000 && !restarted[node] && random.nextInt(800) == 0) {
                restarted[node] = true;
                budgets.set(node, RepeatBudget.create(TERMS, at * MILLI));
                continue;
            }
            budget.request(at * MILLI);
            requests.add(at);
            while (budget.tryRepeat(at * MILLI, nodes)) {
                repeats.add(at);
            }
        }
        for (long end = 10_000; end <= 40_000; end += 500) {
            long from = end - 10_000;
            long to = end;
            long sent = requests.stream().filter(at -> at >= from && at < to).count();
            long again = repeats.stream().filter(at -> at >= from && at < to).count();
            assertThat((double) again).isLessThanOrEqualTo(TERMS.ratio() * sent + TERMS.slack());
        }
    }
}

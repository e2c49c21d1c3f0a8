package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.galenahinge.placement.ServiceRetryBudget.Limits;

class ServiceRetryBudgetTest {
    private static final Limits LIMITS = new Limits(0.2, 100, Duration.ofSeconds(10));
    private static final long MILLI = 1_000_000L;

    /** Nodes share no state, get uneven traffic and may each be restarted, which resets their counts. */
    @Property(tries = 60, seed = "4711")
    void retriesOfAllNodesStayWithinTheLimits(@ForAll @IntRange(min = 1, max = 12) int nodes, @ForAll long seed) {
        Random random = new Random(seed);
        List<ServiceRetryBudget> budgets = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            budgets.add(ServiceRetryBudget.create(LIMITS, 0));
        }
        List<Long> requests = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        boolean[] restarted = new boolean[nodes];
        for (long at = 0; at < 40_000; at += 5) {
            int node = (int) (Math.pow(random.nextDouble(), 2) * nodes);
            ServiceRetryBudget budget = budgets.get(node);
            if (at > 15_000 && !restarted[node] && random.nextInt(800) == 0) {
                restarted[node] = true;
                budgets.set(node, ServiceRetryBudget.create(LIMITS, at * MILLI));
                continue;
            }
            budget.recordRequest(at * MILLI);
            requests.add(at);
            while (budget.tryRetry(at * MILLI, nodes)) {
                retries.add(at);
            }
        }
        for (long end = 10_000; end <= 40_000; end += 500) {
            long from = end - 10_000;
            long to = end;
            long sent = requests.stream().filter(at -> at >= from && at < to).count();
            long retried = retries.stream().filter(at -> at >= from && at < to).count();
            assertThat((double) retried).isLessThanOrEqualTo(LIMITS.ratio() * sent + LIMITS.slack());
        }
    }
}

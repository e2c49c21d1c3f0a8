package org.galenahinge.supply;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.galenahinge.supply.LoadPlan.NamedVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadPlanTest {
    private static final Duration WITHIN = Duration.ofSeconds(8);
    private static final Duration RESERVE = Duration.ofMillis(1_200);

    /** All engines of a service are ready at once: their turns spread over the time that is left. */
    @ParameterizedTest
    @CsvSource({"0, 0", "0.5, 1650", "1, 3300"})
    void spreadsTheTurnsOfOneVersion(double place, long expectedMillis) {
        LoadPlan plan = new LoadPlan(List.of(new NamedVersion(2, Duration.ofMillis(3_400))), place);
        assertThat(plan.untilTurn(1, Duration.ofMillis(100), WITHIN, RESERVE)).hasMillis(expectedMillis);
    }

    /** A second version named two seconds later does not give engines on the first one more time. */
    @ParameterizedTest
    @CsvSource({"1, 1300", "2, 3300"})
    void countsFromTheFirstVersionThatAnEngineLacks(long held, long expectedMillis) {
        LoadPlan plan = new LoadPlan(
                List.of(new NamedVersion(2, Duration.ofMillis(5_500)), new NamedVersion(3, Duration.ofMillis(3_500))),
                1);
        assertThat(plan.untilTurn(held, Duration.ZERO, WITHIN, RESERVE)).hasMillis(expectedMillis);
    }

    @ParameterizedTest
    @CsvSource({"6900", "20000"})
    void goesAtOnceWhenTheTimeIsOver(long ageMillis) {
        LoadPlan plan = new LoadPlan(List.of(new NamedVersion(2, Duration.ofMillis(ageMillis))), 1);
        assertThat(plan.untilTurn(1, Duration.ZERO, WITHIN, RESERVE)).isZero();
    }
}

package org.galenahinge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class FaultPlanTest {
    private static final int ENTRIES = 5;
    private static final int ENGINES = 4;
    private static final int SEEDS = 50;

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void drawsSameFaultsFromSameSeed(Scenario scenario) {
        assertThat(FaultPlan.draw(new Random(7), scenario, ENTRIES, ENGINES))
                .isEqualTo(FaultPlan.draw(new Random(7), scenario, ENTRIES, ENGINES));
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void endsEachEntryOnceAndDrawsOnlyItsKinds(Scenario scenario) {
        Fault.Kind ending = scenario == Scenario.ROLLOUT ? Fault.Kind.KILL : Fault.Kind.STOP;
        for (int seed = 0; seed < SEEDS; seed++) {
            var faults = FaultPlan.draw(new Random(seed), scenario, ENTRIES, ENGINES);
            assertThat(faults.stream().filter(fault -> fault.kind() == ending))
                    .extracting(Fault::entry)
                    .containsExactlyInAnyOrder(0, 1, 2, 3, 4);
            assertThat(faults).allMatch(fault -> fault.kind() == ending || scenario.allows(fault.kind()));
        }
    }
}

package org.galenahinge.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.assertj.core.data.Offset;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReturnTimeTest {
    /** Many are refused in the same moment: they do not come back in the same moment. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.5, 0.999})
    void spreadsThoseWhoComeBackToFullServices(double draw) {
        Duration after = ReturnTime.whenFull(draw);
        assertThat(after).isBetween(Duration.ofMillis(400), Duration.ofMillis(1_200));
        assertThat(after.toMillis()).isCloseTo((long) (400 + 800 * draw), Offset.offset(1L));
    }

    /** An outage: as late as the caller will keep, which is a third of its time. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.5, 0.999})
    void sendsBackLateAfterAnOutage(double draw) {
        assertThat(ReturnTime.afterOutage(Duration.ofSeconds(6), draw))
                .isBetween(Duration.ofMillis(1_500), Duration.ofSeconds(2));
    }
}

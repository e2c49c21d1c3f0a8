package org.galenahinge.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.assertj.core.data.Offset;
import org.galenahinge.catalog.ColdStartBounds;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TurnRateTest {
    /** The rate is as high as the bounds allow, and never above that of the upstream. */
    @ParameterizedTest
    @CsvSource({
        "1.5, 5, 14, 10.87, 300",
        "1.5, 5, 1, 1, 1500",
        "4, 5, 14, 14, 1500",
        "2.5, 5, 14, 14, 785",
        "1, 0, 1, 0, 300",
        "1.5, 5, 0, 0, 300"
    })
    void derivesTurnsFromTheBounds(double excess, double slack, double perSecond, double rate, long validityMillis) {
        TurnRate turns = TurnRate.within(new ColdStartBounds(excess, slack), perSecond);
        assertThat(turns.perSecond()).isCloseTo(rate, Offset.offset(0.01));
        assertThat(turns.validity().toMillis()).isEqualTo(validityMillis);
    }

    @ParameterizedTest
    @CsvSource({"-1, 5", "1, -1", "NaN, 5", "1, Infinity"})
    void rejectsValuesOutOfRange(double excess, double slack) {
        assertThatThrownBy(() -> new ColdStartBounds(excess, slack)).isInstanceOf(IllegalArgumentException.class);
    }
}

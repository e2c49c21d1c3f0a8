package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SlotShareTest {
    /** Together the receivers of a report get each slot that is free and not withheld exactly once. */
    @ParameterizedTest
    @CsvSource({"1, 26, 0", "8, 26, 0", "8, 3, 0", "8, 3, 2", "2, 10, 3", "0, 5, 0", "16, 1, 0"})
    void givesEachFreeSlotToOneReceiver(int free, int receivers, int withheld) {
        int given = IntStream.range(0, receivers)
                .map(position -> new SlotShare(position, receivers, withheld).of(free))
                .sum();
        assertThat(given).isEqualTo(Math.max(0, free - withheld));
    }

    @ParameterizedTest
    @CsvSource({"-1, 3, 0", "3, 3, 0", "0, -1, 0", "0, 3, -1"})
    void rejectsPositionsOutsideTheReceivers(int position, int receivers, int withheld) {
        assertThatThrownBy(() -> new SlotShare(position, receivers, withheld))
                .isInstanceOf(IllegalArgumentException.class);
    }
}

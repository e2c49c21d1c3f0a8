package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.limit.NamedLimits.Position;
import org.junit.jupiter.api.Test;

class SettledPositionTest {
    private boolean settled;
    private final ManualTimers timers = new ManualTimers();
    private final EntryRoster roster = new EntryRoster("zone", 1);
    private final SettledPosition position = new SettledPosition(roster, entry(3), () -> settled, timers);

    /** Guards against an entry that has just started, knows no other entry yet, and takes all turns. */
    @Test
    void hasNoPositionUntilItKnowsTheOtherEntries() {
        assertThat(position.get()).isEmpty();
        timers.advance(Duration.ofSeconds(9));
        assertThat(position.get()).isEmpty();
        settled = true;
        up(0, 6);
        assertThat(position.get()).isEmpty();
        timers.advance(Duration.ofMillis(1_500));
        assertThat(position.get()).contains(new Position(3, 6));
    }

    /** Guards against a partition in which each side takes all turns, since it sees none of the other side's entries. */
    @Test
    void keepsTheTurnsOfEntriesThatWereUpLately() {
        settled = true;
        up(0, 6);
        position.get();
        timers.advance(Duration.ofSeconds(60));
        up(2, 4);
        timers.advance(Duration.ofSeconds(100));
        assertThat(position.get()).contains(new Position(3, 6));
        timers.advance(Duration.ofSeconds(21));
        assertThat(position.get()).isEqualTo(Optional.of(new Position(1, 2)));
    }

    private void up(int from, int to) {
        List<NodeAddress> entries =
                IntStream.range(from, to).mapToObj(SettledPositionTest::entry).toList();
        roster.update(entries);
        position.rosterChanged();
    }

    private static NodeAddress entry(int number) {
        return new NodeAddress("entry-" + number, "zone", "10.0.0." + number, 80, 81, 82);
    }
}

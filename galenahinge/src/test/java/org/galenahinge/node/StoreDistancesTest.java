package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreDistancesTest {
    private final StoreDistances distances = new StoreDistances();

    @ParameterizedTest
    @CsvSource({"300, 3700, false", "300, 900, true", "4000, 7000, true", "4000, 9000, false", "0, 1500, false"})
    void tellsWhichDomainsAreNear(long shortest, long other, boolean isNear) {
        distances.told(Map.of("a", shortest, "b", other));
        assertThat(distances.near(Set.of("a", "b"))).contains("a").hasSize(isNear ? 2 : 1);
        assertThat(distances.near(Set.of("b"))).containsExactly("b");
    }

    @Test
    void keepsTheShortestTimeAndIgnoresOddOnes() {
        distances.measured("a", Duration.ofMillis(5));
        distances.measured("a", Duration.ofMillis(9));
        distances.told(Map.of("a", -1L));
        assertThat(distances.all()).containsExactly(Map.entry("a", 5_000L));
    }

    /** Guards against a watcher that takes each large change over a link of little bandwidth, before it goes back over it. */
    @Test
    void theWatcherIsNearTheStoreOnceTheDistancesAreKnown() {
        EntryRoster roster = new EntryRoster("zone-1", distances, 1);
        List<NodeAddress> entries = IntStream.range(0, 12)
                .mapToObj(number ->
                        new NodeAddress("entry-" + number, "zone-" + number % 3, "10.0.0." + number, 80, 81, 82))
                .toList();
        roster.update(entries);
        for (String near : List.of("zone-2", "zone-0")) {
            distances.told(Map.of("zone-0", 1L, "zone-1", 9_000L, "zone-2", 9_000L));
            roster.update(entries.stream()
                    .filter(entry -> near.equals("zone-0") || !entry.zone().equals("zone-0"))
                    .toList());
            Set<String> expected = near.equals("zone-0") ? Set.of("zone-0") : Set.of("zone-1", "zone-2");
            assertThat(roster.watcher().orElseThrow().zone()).isIn(expected);
        }
        String ownRelay = roster.relayOf("zone-1").orElseThrow().name();
        assertThat(roster.storeTurn(ownRelay)).isGreaterThan(1);
    }
}

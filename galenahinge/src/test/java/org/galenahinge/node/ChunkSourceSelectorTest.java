package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.galenahinge.node.ChunkSourceSelector.Source;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ChunkSourceSelectorTest {
    private static final String ORIGIN_ZONE = "zone-1";

    @ParameterizedTest
    @CsvSource({"1, 1", "8, 2", "44, 4"})
    void readsOriginOnceAndCrossesToEachOtherRegionOnce(int entries, int regions) {
        List<NodeAddress> up = entries(entries, regions);
        int fromOrigin = 0;
        int crossing = 0;
        for (NodeAddress self : up) {
            Source source = select(self, up, 0);
            fromOrigin += source instanceof Source.Origin ? 1 : 0;
            crossing +=
                    source instanceof Source.Node node && !node.entry().zone().equals(self.zone()) ? 1 : 0;
        }
        assertThat(fromOrigin).isEqualTo(1);
        assertThat(crossing).isEqualTo(regions - 1);
    }

    /**
     * When the origin was unreachable while a version spreads and then returns, 44 concurrent readers would exhaust its
     * link and connections and time out.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 6, 7, 12, 41})
    void sendsFewEntriesToOriginAfterManyFailures(int failures) {
        List<NodeAddress> up = entries(44, 4);
        assertThat(up.stream().filter(self -> readsOrigin(self, up, failures)).count())
                .isBetween(1L, 2L);
    }

    /** The first reader cannot reach the origin: the backup reader does, and the other entries find it. */
    @Test
    void findsTheBackupReader() {
        List<NodeAddress> up = entries(8, 2);
        List<NodeAddress> readers =
                up.stream().filter(self -> readsOrigin(self, up, 8)).toList();
        assertThat(readers).hasSize(2).allMatch(entry -> entry.zone().equals(ORIGIN_ZONE));
        NodeAddress other = up.stream()
                .filter(entry -> !readers.contains(entry))
                .findFirst()
                .orElseThrow();
        ChunkSourceSelector selector = new ChunkSourceSelector(other.name(), other.zone(), zone -> zone, 1);
        List<Source> sources = new ArrayList<>();
        for (int attempt = 0; attempt < 60; attempt++) {
            sources.add(selector.select(up, ORIGIN_ZONE, "m", 8));
        }
        assertThat(sources)
                .contains(new Source.Node(readers.get(0)), new Source.Node(readers.get(1)))
                .doesNotContain(new Source.Origin());
    }

    @Test
    void hasNoSourceWhileNoEntryIsUp() {
        assertThat(new ChunkSourceSelector("entry-0", "zone-0", zone -> zone, 1).select(List.of(), ORIGIN_ZONE, "m", 9))
                .isEqualTo(new Source.None());
    }

    private static boolean readsOrigin(NodeAddress self, List<NodeAddress> up, int failures) {
        ChunkSourceSelector selector = new ChunkSourceSelector(self.name(), self.zone(), zone -> zone, 1);
        return IntStream.range(0, 20)
                .mapToObj(attempt -> selector.select(up, ORIGIN_ZONE, "m", failures))
                .anyMatch(Source.Origin.class::isInstance);
    }

    private static Source select(NodeAddress self, List<NodeAddress> up, int failures) {
        return new ChunkSourceSelector(self.name(), self.zone(), zone -> zone, 1)
                .select(up, ORIGIN_ZONE, "m", failures);
    }

    private static List<NodeAddress> entries(int count, int zones) {
        List<NodeAddress> entries = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            entries.add(new NodeAddress("entry-" + number, "zone-" + number % zones, "10.0.0.1", 80, 81, 82));
        }
        return entries;
    }
}

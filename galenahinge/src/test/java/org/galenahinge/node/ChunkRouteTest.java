package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.galenahinge.node.ChunkRoute.Source;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ChunkRouteTest {
    private static final String ORIGIN_ZONE = "zone-1";

    @ParameterizedTest
    @CsvSource({"1, 1", "8, 2", "44, 4"})
    void readsTheOriginOnceAndCrossesIntoEachRegionOnce(int entries, int regions) {
        List<NodeCard> up = entries(entries, regions);
        int fromOrigin = 0;
        int crossing = 0;
        for (NodeCard self : up) {
            Source source = choose(self, up, 0);
            fromOrigin += source instanceof Source.Origin ? 1 : 0;
            crossing +=
                    source instanceof Source.Node node && !node.card().zone().equals(self.zone()) ? 1 : 0;
        }
        assertThat(fromOrigin).isEqualTo(1);
        assertThat(crossing).isEqualTo(regions - 1);
    }

    /** The origin is away while a version spreads, then comes back: 44 readers at once would keep each other from it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5, 6, 7, 12, 41})
    void sendsFewToTheOriginAlsoAfterManyFailures(int failures) {
        List<NodeCard> up = entries(44, 4);
        assertThat(up.stream().filter(self -> goesToOrigin(self, up, failures)).count())
                .isBetween(1L, 2L);
    }

    /** The first reader is cut off from the origin: the second one stands in, and the others find it. */
    @Test
    void findsTheReaderThatStandsIn() {
        List<NodeCard> up = entries(8, 2);
        List<NodeCard> readers =
                up.stream().filter(self -> goesToOrigin(self, up, 8)).toList();
        assertThat(readers).hasSize(2).allMatch(card -> card.zone().equals(ORIGIN_ZONE));
        NodeCard asker =
                up.stream().filter(card -> !readers.contains(card)).findFirst().orElseThrow();
        ChunkRoute route = new ChunkRoute(asker.name(), asker.zone(), zone -> zone, 1);
        List<Source> sources = new ArrayList<>();
        for (int attempt = 0; attempt < 60; attempt++) {
            sources.add(route.choose(up, ORIGIN_ZONE, "m", 8));
        }
        assertThat(sources)
                .contains(new Source.Node(readers.get(0)), new Source.Node(readers.get(1)))
                .doesNotContain(new Source.Origin());
    }

    @Test
    void hasNoSourceWhileNobodyIsUp() {
        assertThat(new ChunkRoute("entry-0", "zone-0", zone -> zone, 1).choose(List.of(), ORIGIN_ZONE, "m", 9))
                .isEqualTo(new Source.None());
    }

    private static boolean goesToOrigin(NodeCard self, List<NodeCard> up, int failures) {
        ChunkRoute route = new ChunkRoute(self.name(), self.zone(), zone -> zone, 1);
        return IntStream.range(0, 20)
                .mapToObj(attempt -> route.choose(up, ORIGIN_ZONE, "m", failures))
                .anyMatch(Source.Origin.class::isInstance);
    }

    private static Source choose(NodeCard self, List<NodeCard> up, int failures) {
        return new ChunkRoute(self.name(), self.zone(), zone -> zone, 1).choose(up, ORIGIN_ZONE, "m", failures);
    }

    private static List<NodeCard> entries(int count, int zones) {
        List<NodeCard> cards = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            cards.add(new NodeCard("entry-" + number, "zone-" + number % zones, "10.0.0.1", 80, 81, 82));
        }
        return cards;
    }
}

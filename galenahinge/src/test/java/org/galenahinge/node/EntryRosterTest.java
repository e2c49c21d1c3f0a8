package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EntryRosterTest {
    /** All nodes name the same watcher, and its relays reach every failure domain that has an entry. */
    @Property(tries = 100, seed = "4711")
    void allNodesNameTheSameOnes(@ForAll @IntRange(min = 1, max = 60) int entries, @ForAll long seed) {
        List<NodeCard> cards = new ArrayList<>();
        for (int number = 0; number < entries; number++) {
            cards.add(card("entry-" + number, "zone-" + number % 4));
        }
        EntryRoster one = new EntryRoster("zone-0", seed);
        EntryRoster other = new EntryRoster("zone-1", seed + 1);
        one.update(cards);
        List<NodeCard> reversed = new ArrayList<>(cards);
        Collections.reverse(reversed);
        other.update(reversed);
        assertThat(one.watcher()).isEqualTo(other.watcher()).isPresent();
        for (NodeCard card : cards) {
            assertThat(one.relayOf(card.zone())).isPresent().isEqualTo(other.relayOf(card.zone()));
        }
    }

    @Test
    void neverNamesTheNodeItselfAsItsSource() {
        EntryRoster roster = new EntryRoster("zone-0", 1);
        NodeCard self = card("entry-0", "zone-0");
        roster.update(List.of(self));
        assertThat(roster.factSource("entry-0", 0)).isEmpty();
        assertThat(roster.factSource("entry-0", 3)).isEmpty();
    }

    @Test
    void aCardSurvivesItsText() {
        NodeCard card = card("entry-7", "zone-2");
        assertThat(NodeCard.parse(card.text())).isEqualTo(Optional.of(card));
        assertThat(NodeCard.parse("entry;zone;10.0.0.1;x;1;2")).isEmpty();
        assertThat(NodeCard.parse("")).isEmpty();
    }

    private static NodeCard card(String name, String zone) {
        return new NodeCard(name, zone, "10.0.0.1", 80, 81, 82);
    }
}

package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EntryRosterTest {
    /** All nodes choose the same watcher, and the same relay for each failure domain that has an entry. */
    @Property(tries = 100, seed = "4711")
    void allNodesChooseTheSameWatcherAndRelays(@ForAll @IntRange(min = 1, max = 60) int entries, @ForAll long seed) {
        List<NodeAddress> addresses = new ArrayList<>();
        for (int number = 0; number < entries; number++) {
            addresses.add(address("entry-" + number, "zone-" + number % 4));
        }
        EntryRoster one = new EntryRoster("zone-0", seed);
        EntryRoster other = new EntryRoster("zone-1", seed + 1);
        one.update(addresses);
        List<NodeAddress> reversed = new ArrayList<>(addresses);
        Collections.reverse(reversed);
        other.update(reversed);
        assertThat(one.watcher()).isEqualTo(other.watcher()).isPresent();
        for (NodeAddress address : addresses) {
            assertThat(one.relayOf(address.zone())).isPresent().isEqualTo(other.relayOf(address.zone()));
        }
    }

    @Test
    void neverChoosesTheNodeItselfAsItsFactSource() {
        EntryRoster roster = new EntryRoster("zone-0", 1);
        NodeAddress self = address("entry-0", "zone-0");
        roster.update(List.of(self));
        assertThat(roster.factSource("entry-0", 0, entry -> true)).isEmpty();
        assertThat(roster.factSource("entry-0", 3, entry -> true)).isEmpty();
    }

    @Test
    void assignsDutiesAnewWhenTheirEntryLeaves() {
        List<NodeAddress> addresses = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            addresses.add(address("entry-" + number, "zone-" + number % 3));
        }
        EntryRoster roster = new EntryRoster("zone-0", 1);
        roster.update(addresses);
        NodeAddress watcher = roster.watcher().orElseThrow();
        NodeAddress relay = roster.relayOf("zone-0").orElseThrow();
        addresses.removeAll(List.of(watcher, relay));
        roster.update(addresses);
        assertThat(roster.watcher()).isPresent().isNotEqualTo(Optional.of(watcher));
        assertThat(roster.relayOf("zone-0")).isPresent().isNotEqualTo(Optional.of(relay));
        assertThat(roster.storeTurn(relay.name())).isPositive();
        assertThat(roster.inZone("zone-0")).doesNotContain(relay).isNotEmpty();
    }

    /** Guards against all entries of a failure domain reading the store at the same moment when their relay cannot. */
    @Test
    void eachEntryHasATurnOfItsOwnAtTheStore() {
        EntryRoster roster = new EntryRoster("zone-0", 1);
        roster.update(IntStream.range(0, 10)
                .mapToObj(number -> address("entry-" + number, number < 8 ? "zone-0" : "zone-1"))
                .toList());
        NodeAddress relay = roster.relayOf("zone-0").orElseThrow();
        List<NodeAddress> others = roster.inZone("zone-0").stream()
                .filter(entry -> !entry.equals(relay))
                .filter(entry -> !roster.watcher().equals(Optional.of(entry)))
                .toList();
        assertThat(roster.storeTurn(relay.name())).isZero();
        assertThat(others.stream().map(entry -> roster.storeTurn(entry.name())))
                .doesNotHaveDuplicates()
                .allMatch(turn -> turn > 0 && turn < 8);
        NodeAddress standIn = roster.factSource("entry-8", 1, entry -> true).orElseThrow();
        assertThat(roster.storeTurn(standIn.name())).isLessThanOrEqualTo(1);
    }

    @Test
    void parsesTheTextOfANodeAddress() {
        NodeAddress address = address("entry-7", "zone-2");
        assertThat(NodeAddress.parse(address.text())).isEqualTo(Optional.of(address));
        assertThat(NodeAddress.parse("entry;zone;10.0.0.1;x;1;2")).isEmpty();
        assertThat(NodeAddress.parse("")).isEmpty();
    }

    private static NodeAddress address(String name, String zone) {
        return new NodeAddress(name, zone, "10.0.0.1", 80, 81, 82);
    }
}

package org.galenahinge.ticket;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.galenahinge.ticket.TicketState.Outcome;
import org.junit.jupiter.api.Test;

class TicketStateTest {
    @Test
    void keepsTheTicketWithTheHighestNumberForEachGroup() {
        TicketState state =
                merge(List.of(ticket(2, "x", "a", "b"), ticket(1, "x", "a", "b", "c"), ticket(3, "x", "b")));

        assertThat(state.ticketOf("a").orElseThrow().number()).isEqualTo(2);
        assertThat(state.ticketOf("b").orElseThrow().number()).isEqualTo(3);
        assertThat(state.ticketOf("c").orElseThrow().number()).isEqualTo(1);
    }

    @Test
    void reportsAnotherTicketWithTheSameNumber() {
        TicketState state = TicketState.empty().merge(ticket(4, "one", "a")).state();

        assertThat(state.merge(ticket(4, "other", "a")).outcome()).isEqualTo(Outcome.NUMBER_TAKEN);
        assertThat(state.merge(ticket(4, "one", "a")).outcome()).isEqualTo(Outcome.ALREADY_KNOWN);
    }

    @Test
    void findsTheGroupOfAVm() {
        TicketState state = merge(List.of(ticket(1, "x", "a"), ticket(5, "x", "b")));

        assertThat(state.groupOf("vm-a").orElseThrow().content().group()).isEqualTo("a");
        assertThat(state.groupOf("vm-c")).isEmpty();
    }

    @Property(tries = 300, seed = "4432")
    void convergesInAnyOrderAndWithDuplicates(@ForAll("tickets") List<Ticket> tickets, @ForAll long seed) {
        List<Ticket> shuffled = new ArrayList<>(tickets);
        shuffled.addAll(tickets.subList(0, tickets.size() / 2));
        Collections.shuffle(shuffled, new Random(seed));

        assertThat(contents(merge(shuffled))).isEqualTo(contents(merge(tickets)));
    }

    @Property(tries = 300, seed = "4433")
    void neverDecreasesTheNumberOfAGroup(@ForAll("tickets") List<Ticket> tickets) {
        TicketState state = TicketState.empty();
        Map<String, Long> highest = new HashMap<>();
        for (Ticket ticket : tickets) {
            state = state.merge(ticket).state();
            ticket.groups().forEach(group -> highest.merge(group.group(), ticket.number(), Math::max));
            for (Map.Entry<String, Long> entry : highest.entrySet()) {
                assertThat(state.ticketOf(entry.getKey()).orElseThrow().number())
                        .isEqualTo(entry.getValue());
            }
        }
    }

    @Provide
    Arbitrary<List<Ticket>> tickets() {
        Arbitrary<Ticket> one = Combinators.combine(
                        Arbitraries.longs().between(1, 12),
                        Arbitraries.of("x", "y"),
                        Arbitraries.of("a", "b", "c", "d").set().ofMinSize(1))
                .as((number, version, groups) -> Tuple.of(number, version, groups))
                .map(parts -> ticket(
                        parts.get1(),
                        parts.get2(),
                        parts.get3().stream().sorted().toArray(String[]::new)));
        return one.list().ofMaxSize(30);
    }

    static Ticket ticket(long number, String version, String... groups) {
        StringBuilder json = new StringBuilder("{\"number\":" + number + ",\"groups\":[");
        for (String group : groups) {
            json.append(json.charAt(json.length() - 1) == '[' ? "" : ",")
                    .append("{\"group\":\"" + group + "\",\"vms\":[\"vm-" + group
                            + "\"],\"model\":\"m\",\"version\":\"")
                    .append(version)
                    .append("\"}");
        }
        return ((TicketResult.Valid) Ticket.parse(json.append("]}").toString())).ticket();
    }

    private static TicketState merge(List<Ticket> tickets) {
        TicketState state = TicketState.empty();
        for (Ticket ticket : tickets) {
            state = state.merge(ticket).state();
        }
        return state;
    }

    private static Map<String, String> contents(TicketState state) {
        Map<String, String> contents = new HashMap<>();
        state.effectiveGroups()
                .forEach(group ->
                        contents.put(group.content().group(), group.ticket().contentHash()));
        return contents;
    }
}

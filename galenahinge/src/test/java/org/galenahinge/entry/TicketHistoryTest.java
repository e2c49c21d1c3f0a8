package org.galenahinge.entry;

import static org.assertj.core.api.Assertions.assertThat;

import org.galenahinge.ticket.Ticket;
import org.galenahinge.ticket.TicketResult;
import org.junit.jupiter.api.Test;

class TicketHistoryTest {
    private final TicketHistory history = new TicketHistory();

    @Test
    void remembersTheGroupsOfTicketsAndConflicts() {
        history.add(ticket(5));
        history.recordNumberConflict(ticket(6));
        assertThat(history.groupsOf(5)).containsExactly("orders");
        assertThat(history.groupsOf(6)).isEmpty();
        assertThat(history.rejectionOf(5)).isEmpty();
        assertThat(history.rejectionOf(6)).isPresent();
    }

    @Test
    void forgetsTheTicketsWithTheLowestNumbers() {
        for (int number = 1; number <= TicketHistory.MAXIMUM_TICKETS + 1; number++) {
            history.add(ticket(number));
        }
        assertThat(history.groupsOf(1)).isEmpty();
        assertThat(history.groupsOf(2)).isNotEmpty();
    }

    private static Ticket ticket(long number) {
        TicketResult result = Ticket.parse("{\"number\": " + number
                + ", \"groups\": [{\"group\": \"orders\", \"vms\": [\"order-1\"], \"service\": \"orders\", "
                + "\"repeatable\": false}]}");
        return ((TicketResult.Valid) result).ticket();
    }
}

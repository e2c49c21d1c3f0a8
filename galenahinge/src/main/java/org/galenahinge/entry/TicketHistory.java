package org.galenahinge.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.galenahinge.ticket.Ticket;
import org.galenahinge.ticket.TicketGroup;
import org.jboss.logging.Logger;

/** The tickets that this entry has received, for operators. Changed by one thread, read by any. */
final class TicketHistory {
    /** The maximum number of tickets that are remembered; those with the highest numbers are. */
    static final int MAXIMUM_TICKETS = 20_000;

    private static final Logger LOG = Logger.getLogger(TicketHistory.class);
    private static final int MAXIMUM_REJECTIONS = 1_000;

    private final ConcurrentNavigableMap<Long, List<String>> groups = new ConcurrentSkipListMap<>();
    private final Map<Long, String> rejections = new TreeMap<>();
    private volatile Map<Long, String> rejectionSnapshot = Map.of();

    void add(Ticket ticket) {
        groups.put(
                ticket.number(),
                ticket.groups().stream().map(TicketGroup::group).toList());
        while (groups.size() > MAXIMUM_TICKETS) {
            groups.pollFirstEntry();
        }
    }

    /** Records that a ticket has the number of another one with different content. */
    void recordNumberConflict(Ticket ticket) {
        rejections.put(ticket.number(), "number taken: two tickets have it, with different content");
        while (rejections.size() > MAXIMUM_REJECTIONS) {
            rejections.remove(rejections.keySet().iterator().next());
        }
        rejectionSnapshot = Map.copyOf(rejections);
        LOG.warnf("ticket %d was published twice with different content", ticket.number());
    }

    /** Returns why a ticket with this number was rejected; empty if none was. */
    Optional<String> rejectionOf(long number) {
        return Optional.ofNullable(rejectionSnapshot.get(number));
    }

    /** Returns the groups that a ticket changes; empty if it is not remembered. */
    List<String> groupsOf(long number) {
        return groups.getOrDefault(number, List.of());
    }
}

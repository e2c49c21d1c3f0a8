package org.galenahinge.ticket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the state in force: for each group the content of the highest-numbered valid ticket that touches it.
 *
 * <p>Merging is a join: order of arrival, repeats and loss cannot hurt it, and a group's number never falls. Two
 * tickets of the same number with other content are ordered by their content hash, so every process settles on the
 * same one; see {@link #merge} for what that does and does not allow.
 *
 * <p>Cost: O(groups of the ticket) for a merge that changes nothing, O(groups held) for one that does.
 */
public final class TicketState {
    private static final TicketState EMPTY = new TicketState(Map.of());

    private final Map<String, Ticket> byGroup;

    private TicketState(Map<String, Ticket> byGroup) {
        this.byGroup = byGroup;
    }

    /**
     * Creates a state in which no group is known.
     *
     * @return the empty state
     */
    public static TicketState empty() {
        return EMPTY;
    }

    /**
     * Joins a ticket into this state, whole or not at all per group.
     *
     * <p>Where the same number is held with other content, the content with the smaller hash wins everywhere. Before
     * the two have met, either may be in force; afterwards one is, and the readback names the other as refused.
     *
     * @param ticket the ticket
     * @return the new state and what became of the ticket
     */
    public Merge merge(Ticket ticket) {
        Objects.requireNonNull(ticket, "ticket");
        Map<String, Ticket> changed = null;
        boolean numberTaken = false;
        for (TicketGroup group : ticket.groups()) {
            Ticket held = byGroup.get(group.group());
            if (held != null
                    && held.number() == ticket.number()
                    && !held.contentHash().equals(ticket.contentHash())) {
                numberTaken = true;
            }
            if (supersedes(ticket, held)) {
                changed = changed == null ? new HashMap<>(byGroup) : changed;
                changed.put(group.group(), ticket);
            }
        }
        if (changed == null) {
            return new Merge(this, numberTaken ? Outcome.NUMBER_TAKEN : Outcome.ALREADY_KNOWN);
        }
        TicketState next = new TicketState(Map.copyOf(changed));
        next.assertNeverFalls(this);
        return new Merge(next, numberTaken ? Outcome.NUMBER_TAKEN : Outcome.APPLIED);
    }

    private static boolean supersedes(Ticket ticket, Ticket held) {
        if (held == null || ticket.number() > held.number()) {
            return true;
        }
        return ticket.number() == held.number() && ticket.contentHash().compareTo(held.contentHash()) < 0;
    }

    private void assertNeverFalls(TicketState before) {
        for (Map.Entry<String, Ticket> entry : before.byGroup.entrySet()) {
            Ticket now = byGroup.get(entry.getKey());
            if (now == null || now.number() < entry.getValue().number()) {
                throw new IllegalStateException("the ticket number of group " + entry.getKey() + " fell");
            }
        }
    }

    /**
     * Returns the ticket in force for a group.
     *
     * @param group the group's name
     * @return the ticket, if any touches the group
     */
    public Optional<Ticket> ticketOf(String group) {
        return Optional.ofNullable(byGroup.get(group));
    }

    /**
     * Returns the content in force for a group.
     *
     * @param group the group's name
     * @return the group's state, if any ticket touches it
     */
    public Optional<TicketGroup> group(String group) {
        return ticketOf(group).flatMap(ticket -> ticket.group(group));
    }

    /**
     * Returns every group in force with its ticket, sorted by the group's name.
     *
     * @return a new list
     */
    public List<GroupInForce> groupsInForce() {
        List<GroupInForce> groups = new ArrayList<>(byGroup.size());
        new TreeMap<>(byGroup)
                .forEach((name, ticket) ->
                        groups.add(new GroupInForce(ticket, ticket.group(name).orElseThrow())));
        return groups;
    }

    /**
     * Returns the group that a VM belongs to: the one of the highest-numbered ticket that names the VM.
     *
     * @param vm the VM's name
     * @return the group and its ticket, if any names the VM
     */
    public Optional<GroupInForce> groupOf(String vm) {
        GroupInForce best = null;
        for (GroupInForce candidate : groupsInForce()) {
            boolean names = candidate.content().vms().contains(vm);
            if (names
                    && (best == null
                            || candidate.ticket().number() > best.ticket().number())) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the number of groups held.
     *
     * @return the count
     */
    public int size() {
        return byGroup.size();
    }

    /**
     * A group with the ticket that is in force for it.
     *
     * @param ticket the ticket
     * @param content the group's state in that ticket
     */
    public record GroupInForce(Ticket ticket, TicketGroup content) {}

    /**
     * The result of a merge.
     *
     * @param state the state after it
     * @param outcome what became of the ticket
     */
    public record Merge(TicketState state, Outcome outcome) {}

    /** What became of a ticket. */
    public enum Outcome {
        /** At least one group changed. */
        APPLIED,
        /** Every group already holds this ticket or a later one. */
        ALREADY_KNOWN,
        /** The number is held with other content. */
        NUMBER_TAKEN
    }
}

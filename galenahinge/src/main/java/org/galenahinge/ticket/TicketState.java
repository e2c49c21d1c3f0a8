package org.galenahinge.ticket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The tickets in effect: for each group, the valid ticket with the highest number that changes it. Immutable.
 *
 * <p>Merging is commutative, associative and idempotent, so neither the order of the tickets nor duplicates matter, a
 * lost ticket may be merged later, and the number of a group never decreases. Two tickets with the same number and
 * different content are ordered by their content hash, so that all nodes converge on the same one; see
 * {@link #merge} for the limits of this.
 *
 * <p>Cost: O(groups of the ticket) for a merge that changes nothing, O(all groups) for one that does.
 */
public final class TicketState {
    private static final TicketState EMPTY = new TicketState(Map.of());

    private final Map<String, Ticket> byGroup;

    private TicketState(Map<String, Ticket> byGroup) {
        this.byGroup = byGroup;
    }

    /**
     * Returns a state without groups.
     *
     * @return the empty state
     */
    public static TicketState empty() {
        return EMPTY;
    }

    /**
     * Merges a ticket into this state. Each group takes the complete content of the ticket or stays unchanged.
     *
     * <p>If a group has a ticket with the same number and different content, the content with the smaller hash wins on
     * all nodes. Until a node has both, either may be in effect on it; afterwards only the winner is, and the status
     * reports the other as rejected.
     *
     * @param ticket the ticket
     * @return the new state and the outcome
     */
    public Merge merge(Ticket ticket) {
        Objects.requireNonNull(ticket, "ticket");
        Map<String, Ticket> changed = null;
        boolean numberConflict = false;
        for (TicketGroup group : ticket.groups()) {
            Ticket held = byGroup.get(group.group());
            if (held != null
                    && held.number() == ticket.number()
                    && !held.contentHash().equals(ticket.contentHash())) {
                numberConflict = true;
            }
            if (supersedes(ticket, held)) {
                changed = changed == null ? new HashMap<>(byGroup) : changed;
                changed.put(group.group(), ticket);
            }
        }
        if (changed == null) {
            return new Merge(this, numberConflict ? Outcome.NUMBER_TAKEN : Outcome.ALREADY_KNOWN);
        }
        TicketState next = new TicketState(Map.copyOf(changed));
        next.checkNumbersNotBelow(this);
        return new Merge(next, numberConflict ? Outcome.NUMBER_TAKEN : Outcome.APPLIED);
    }

    private static boolean supersedes(Ticket ticket, Ticket held) {
        if (held == null || ticket.number() > held.number()) {
            return true;
        }
        return ticket.number() == held.number() && ticket.contentHash().compareTo(held.contentHash()) < 0;
    }

    private void checkNumbersNotBelow(TicketState before) {
        for (Map.Entry<String, Ticket> entry : before.byGroup.entrySet()) {
            Ticket current = byGroup.get(entry.getKey());
            if (current == null || current.number() < entry.getValue().number()) {
                throw new IllegalStateException("the ticket number of group " + entry.getKey() + " decreased");
            }
        }
    }

    /**
     * Returns the ticket in effect for a group.
     *
     * @param group the name of the group
     * @return the ticket, or empty if no ticket changes the group
     */
    public Optional<Ticket> ticketOf(String group) {
        return Optional.ofNullable(byGroup.get(group));
    }

    /**
     * Returns the state in effect for a group.
     *
     * @param group the name of the group
     * @return the state of the group, or empty if no ticket changes it
     */
    public Optional<TicketGroup> group(String group) {
        return ticketOf(group).flatMap(ticket -> ticket.group(group));
    }

    /**
     * Returns all groups with their tickets, sorted by the name of the group.
     *
     * @return a new list
     */
    public List<EffectiveGroup> effectiveGroups() {
        List<EffectiveGroup> groups = new ArrayList<>(byGroup.size());
        new TreeMap<>(byGroup)
                .forEach((name, ticket) ->
                        groups.add(new EffectiveGroup(ticket, ticket.group(name).orElseThrow())));
        return groups;
    }

    /**
     * Returns the group of a VM. If several groups in effect list the VM, the one with the highest ticket number
     * counts.
     *
     * @param vm the name of the VM
     * @return the group and its ticket, or empty if no group lists the VM
     */
    public Optional<EffectiveGroup> groupOf(String vm) {
        EffectiveGroup best = null;
        for (EffectiveGroup candidate : effectiveGroups()) {
            boolean listsVm = candidate.content().vms().contains(vm);
            if (listsVm
                    && (best == null
                            || candidate.ticket().number() > best.ticket().number())) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the number of groups.
     *
     * @return the number of groups for which a ticket is in effect
     */
    public int size() {
        return byGroup.size();
    }

    /**
     * A group with the ticket that is in effect for it.
     *
     * @param ticket the ticket
     * @param content the state of the group in that ticket
     */
    public record EffectiveGroup(Ticket ticket, TicketGroup content) {}

    /**
     * The result of a merge.
     *
     * @param state the state after the merge
     * @param outcome the effect of the ticket
     */
    public record Merge(TicketState state, Outcome outcome) {}

    /** The effect of a merged ticket. */
    public enum Outcome {
        /** At least one group changed. */
        APPLIED,
        /** No group changed: for each one this ticket or a later one was already in effect. */
        ALREADY_KNOWN,
        /** A group has a ticket with the same number and different content. The state may have changed or not. */
        NUMBER_TAKEN
    }
}

package org.galenahinge.ticket;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.ticket.internal.TicketReader;

/**
 * A numbered change ticket: the new state of some groups of VMs. Immutable and fully validated.
 *
 * <pre>
 * TicketResult result = Ticket.parse(json);
 * if (result instanceof TicketResult.Valid valid) { apply(valid.ticket()); }
 * </pre>
 */
public final class Ticket {
    /** The maximum size of a ticket, in bytes: the configuration service accepts no larger values. */
    public static final int MAXIMUM_BYTES = 1 << 20;

    private final long number;
    private final List<TicketGroup> groups;
    private final String json;
    private final String contentHash;

    private Ticket(long number, List<TicketGroup> groups, String json) {
        this.number = number;
        this.groups = List.copyOf(groups);
        this.json = json;
        this.contentHash =
                Hashing.sha256().hashString(json, StandardCharsets.UTF_8).toString();
    }

    /**
     * Parses and validates a ticket.
     *
     * @param json the text as published
     * @return the ticket, or all errors with the fields in which they occur
     */
    public static TicketResult parse(String json) {
        Objects.requireNonNull(json, "json");
        return TicketReader.read(json);
    }

    /**
     * Creates a ticket from parts that have been validated.
     *
     * @param number the number of the ticket, from 1
     * @param groups the groups that it changes, each with its complete new state
     * @param json the text as published
     * @return the ticket
     */
    public static Ticket of(long number, List<TicketGroup> groups, String json) {
        if (number < 1) {
            throw new IllegalArgumentException("number must be at least 1: " + number);
        }
        return new Ticket(number, groups, Objects.requireNonNull(json, "json"));
    }

    /**
     * Returns the number, which is also the fencing number of every load command that results from this ticket.
     *
     * @return the number, from 1
     */
    public long number() {
        return number;
    }

    /**
     * Returns the groups that this ticket changes.
     *
     * @return an unmodifiable list
     */
    public List<TicketGroup> groups() {
        return groups;
    }

    /**
     * Returns the text as published.
     *
     * @return JSON
     */
    public String json() {
        return json;
    }

    /**
     * Returns the hash that distinguishes two tickets with the same number.
     *
     * @return SHA-256 of the text, in hexadecimal
     */
    public String contentHash() {
        return contentHash;
    }

    /**
     * Finds a group of this ticket by name.
     *
     * @param name the name of the group
     * @return the group, or empty if this ticket does not change it
     */
    public Optional<TicketGroup> group(String name) {
        return groups.stream().filter(group -> group.group().equals(name)).findFirst();
    }

    @Override
    public String toString() {
        return "ticket " + number + " (" + groups.size() + " groups)";
    }
}

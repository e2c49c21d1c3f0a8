package org.galenahinge.ticket;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.galenahinge.ticket.internal.TicketReader;

/**
 * Holds one numbered change ticket, checked whole.
 *
 * <pre>
 * TicketResult result = Ticket.parse(json);
 * if (result instanceof TicketResult.Valid valid) { apply(valid.ticket()); }
 * </pre>
 */
public final class Ticket {
    /** The largest ticket that is read, in bytes: the largest value that the configuration service holds. */
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
     * Reads and checks a ticket.
     *
     * @param json the ticket as published
     * @return the ticket, or every error with the field that it is in
     */
    public static TicketResult parse(String json) {
        Objects.requireNonNull(json, "json");
        return TicketReader.read(json);
    }

    /**
     * Creates a ticket from checked parts.
     *
     * @param number the ticket's number, from 1
     * @param groups the groups that it touches, with their whole new state
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
     * Returns the number, which also is the fencing number of every order that follows from this ticket.
     *
     * @return the number, from 1
     */
    public long number() {
        return number;
    }

    /**
     * Returns the groups that this ticket touches.
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
     * Returns the hash that tells two tickets of the same number apart.
     *
     * @return SHA-256 of the text, in hexadecimal
     */
    public String contentHash() {
        return contentHash;
    }

    /**
     * Finds a group of this ticket.
     *
     * @param name the group's name
     * @return the group, if this ticket touches it
     */
    public Optional<TicketGroup> group(String name) {
        return groups.stream().filter(group -> group.group().equals(name)).findFirst();
    }

    @Override
    public String toString() {
        return "ticket " + number + " (" + groups.size() + " groups)";
    }
}

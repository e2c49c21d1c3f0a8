package org.galenahinge.ticket;

import java.util.List;

/** The result of parsing a ticket. */
public sealed interface TicketResult {
    /**
     * The text is a valid ticket.
     *
     * @param ticket the ticket
     */
    record Valid(Ticket ticket) implements TicketResult {}

    /**
     * The text is not a valid ticket.
     *
     * @param errors all errors found, at least one
     */
    record Invalid(List<FieldError> errors) implements TicketResult {
        public Invalid {
            errors = List.copyOf(errors);
        }
    }

    /**
     * An error in a field.
     *
     * @param field the path of the field, for example {@code groups[0].model}
     * @param message what the field must be, or what is wrong with it
     */
    record FieldError(String field, String message) {
        @Override
        public String toString() {
            return field + ": " + message;
        }
    }
}

package org.galenahinge.ticket;

import java.util.List;

/** Tells whether a text is a valid ticket. */
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
     * @param errors every error found, at least one
     */
    record Invalid(List<FieldError> errors) implements TicketResult {
        /** Copies the errors. */
        public Invalid {
            errors = List.copyOf(errors);
        }
    }

    /**
     * One error in one field.
     *
     * @param field the path of the field, for example {@code groups[0].model}
     * @param message what is wrong and what is allowed
     */
    record FieldError(String field, String message) {
        @Override
        public String toString() {
            return field + ": " + message;
        }
    }
}

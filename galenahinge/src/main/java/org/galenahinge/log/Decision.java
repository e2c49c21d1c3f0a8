package org.galenahinge.log;

import java.util.List;
import java.util.Objects;

/**
 * Describes one routing or placement decision.
 *
 * @param requestId the request that it was taken for, or the ticket or weights concerned
 * @param kind what was decided, for example {@code route} or {@code retry}
 * @param candidates what could have been chosen
 * @param choice what was chosen, empty for a refusal
 * @param reason why
 * @param atMillis when, in milliseconds since 1970
 */
public record Decision(
        String requestId, String kind, List<String> candidates, String choice, String reason, long atMillis) {
    /** Checks and copies the parts. */
    public Decision {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(choice, "choice");
        Objects.requireNonNull(reason, "reason");
        candidates = List.copyOf(candidates);
    }
}

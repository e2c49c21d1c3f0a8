package org.galenahinge.log;

import java.util.List;
import java.util.Objects;

/**
 * One routing or placement decision, as operators read it.
 *
 * @param requestId the ID of the request, or the name of the ticket or weights that the decision concerns
 * @param kind what was decided, for example {@code route} or {@code retry}
 * @param candidates the options considered, at most the number that {@link DecisionLog} keeps
 * @param choice the option chosen; empty if none was
 * @param reason why it was chosen, or why none was
 * @param atMillis time of the decision, in milliseconds since the epoch
 */
public record Decision(
        String requestId, String kind, List<String> candidates, String choice, String reason, long atMillis) {
    /** Rejects null components and copies the candidates. */
    public Decision {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(choice, "choice");
        Objects.requireNonNull(reason, "reason");
        candidates = List.copyOf(candidates);
    }
}

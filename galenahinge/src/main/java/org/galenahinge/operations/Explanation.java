package org.galenahinge.operations;

import java.util.List;
import org.galenahinge.log.Decision;

/**
 * The decisions that one entry logged for a request. Written as JSON under the component names.
 *
 * @param requestId the id of the request
 * @param decisions the decisions that the entry still holds, oldest first
 */
public record Explanation(String requestId, List<Decision> decisions) {
    /** Copies the list. */
    public Explanation {
        decisions = List.copyOf(decisions);
    }
}

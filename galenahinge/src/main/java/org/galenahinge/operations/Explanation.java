package org.galenahinge.operations;

import java.util.List;
import org.galenahinge.log.Decision;

/**
 * Lists the decisions taken for a request at the entry asked.
 *
 * @param requestId the request
 * @param decisions the decisions still kept, oldest first
 */
public record Explanation(String requestId, List<Decision> decisions) {
    /** Copies the list. */
    public Explanation {
        decisions = List.copyOf(decisions);
    }
}

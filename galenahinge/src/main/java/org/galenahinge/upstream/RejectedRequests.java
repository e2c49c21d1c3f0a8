package org.galenahinge.upstream;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import org.galenahinge.routing.Rendezvous;

/** The requests that an upstream rejected last, by hashes of their ids. When it is full, it forgets the earliest one. */
final class RejectedRequests {
    static final int MAXIMUM_REQUESTS = 256;

    private final Set<Long> keys = new LinkedHashSet<>();

    void add(String requestId) {
        Long key = Rendezvous.key(requestId);
        keys.remove(key);
        keys.add(key);
        if (keys.size() > MAXIMUM_REQUESTS) {
            removeEarliest();
        }
    }

    boolean contains(String requestId) {
        return keys.contains(Rendezvous.key(requestId));
    }

    private void removeEarliest() {
        Iterator<Long> earliestFirst = keys.iterator();
        earliestFirst.next();
        earliestFirst.remove();
    }
}

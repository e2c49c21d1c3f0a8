package org.galenahinge.operations;

import java.util.List;

/**
 * Tells a caller which entries to use, and for how long.
 *
 * @param keepSeconds how long to keep this answer, in seconds
 * @param entries the entries, best first
 */
public record EntryList(long keepSeconds, List<EntryAddress> entries) {
    /** Copies the list. */
    public EntryList {
        entries = List.copyOf(entries);
    }

    /**
     * One entry.
     *
     * @param url where it listens
     * @param weight the share of requests to send there, relative to the other entries
     * @param region its region
     * @param failureDomain its failure domain
     */
    public record EntryAddress(String url, int weight, String region, String failureDomain) {}
}

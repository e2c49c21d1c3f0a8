package org.galenahinge.operations;

import java.util.List;

/**
 * The entries that a caller may use. Written as JSON under the component names.
 *
 * @param keepSeconds seconds for which the caller may use this list before it reads a new one
 * @param entries the entries, in order of preference
 */
public record EntryList(long keepSeconds, List<EntryAddress> entries) {
    /** Copies the list. */
    public EntryList {
        entries = List.copyOf(entries);
    }

    /**
     * One entry.
     *
     * @param url its base URL
     * @param weight the share of requests to send there, relative to the other entries
     * @param region its region
     * @param failureDomain its failure domain
     */
    public record EntryAddress(String url, int weight, String region, String failureDomain) {}
}

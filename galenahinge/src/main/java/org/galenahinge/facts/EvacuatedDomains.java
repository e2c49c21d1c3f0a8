package org.galenahinge.facts;

import java.util.Collections;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;

/** The failure domains that the operators evacuate. Belongs to the thread of its {@link FleetFacts}. */
public final class EvacuatedDomains {
    private final SortedSet<String> zones = new TreeSet<>();
    private final EventLog log;

    private EvacuatedDomains(EventLog log) {
        this.log = log;
    }

    /**
     * Creates an empty set.
     *
     * @param log where changes are logged
     * @return the set
     */
    static EvacuatedDomains create(EventLog log) {
        return new EvacuatedDomains(Objects.requireNonNull(log, "log"));
    }

    /**
     * Returns whether a failure domain is evacuated.
     *
     * @param zone the failure domain
     * @return whether its upstreams get no further requests
     */
    public boolean contains(String zone) {
        return zones.contains(zone);
    }

    /**
     * Returns whether no failure domain is evacuated.
     *
     * @return whether the set is empty
     */
    public boolean isEmpty() {
        return zones.isEmpty();
    }

    /**
     * Returns the evacuated failure domains.
     *
     * @return a view, sorted
     */
    public SortedSet<String> zones() {
        return Collections.unmodifiableSortedSet(zones);
    }

    void begin(String zone, long revision) {
        if (zones.add(zone)) {
            logChange("evacuation_begun", zone, revision);
        }
    }

    void end(String zone, long revision) {
        if (zones.remove(zone)) {
            logChange("evacuation_ended", zone, revision);
        }
    }

    private void logChange(String event, String zone, long revision) {
        log.event(Category.BELIEF, event)
                .with("zone", zone)
                .with("revision", revision)
                .with("evacuated", zones.size())
                .write();
    }
}

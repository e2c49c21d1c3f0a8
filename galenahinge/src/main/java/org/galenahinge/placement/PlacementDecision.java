package org.galenahinge.placement;

import java.util.Collections;
import java.util.Objects;
import java.util.SortedSet;
import java.util.TreeSet;
import org.galenahinge.catalog.AllowedRegions;

/** The result of choosing an upstream for a request. */
public sealed interface PlacementDecision {
    /**
     * The request can be sent to an upstream now.
     *
     * @param candidate the chosen upstream
     * @param predictedMillis predicted time until its response or first event, in milliseconds from now
     */
    record Chosen(PlacementCandidate candidate, double predictedMillis) implements PlacementDecision {
        /** Rejects null components. */
        public Chosen {
            Objects.requireNonNull(candidate, "candidate");
        }
    }

    /**
     * Some upstreams can serve the request, but none has a free slot now.
     *
     * @param eligible number of upstreams that can serve it
     */
    record Full(int eligible) implements PlacementDecision {}

    /**
     * Some upstreams can serve the request, but each of them wants no requests for a time that it has named.
     *
     * @param returnNanos when the first of them gets requests again, in nanoseconds
     */
    record Paused(long returnNanos) implements PlacementDecision {}

    /**
     * No upstream can serve the request now, but some soon will: they are loading weights or have just started.
     *
     * @param starting number of such upstreams
     */
    record StartingUp(int starting) implements PlacementDecision {}

    /**
     * The service has no upstream in the regions in which the request may be served.
     *
     * @param allowed the regions
     */
    record OutsideRegions(AllowedRegions allowed) implements PlacementDecision {
        /** Rejects null components. */
        public OutsideRegions {
            Objects.requireNonNull(allowed, "allowed");
        }
    }

    /**
     * No upstream can serve the request, now or soon, but some could if their failure domains were not evacuated.
     *
     * @param zones the failure domains of these upstreams, never empty
     */
    record Evacuated(SortedSet<String> zones) implements PlacementDecision {
        /** Copies the set; rejects an empty one. */
        public Evacuated {
            if (zones.isEmpty()) {
                throw new IllegalArgumentException("zones must not be empty");
            }
            zones = Collections.unmodifiableSortedSet(new TreeSet<>(zones));
        }
    }

    /**
     * No upstream can serve the request, now or soon.
     *
     * @param detail the reason, as plain text
     */
    record Unavailable(String detail) implements PlacementDecision {
        /** Rejects null components. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }
}

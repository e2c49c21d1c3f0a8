package org.galenahinge.placement;

import java.util.Objects;

/** Where a request goes. */
public sealed interface Choice {
    /**
     * It goes to an upstream now.
     *
     * @param candidate the upstream
     * @param predictedMillis when its answer or first event is expected, in milliseconds from now
     */
    record Chosen(Candidate candidate, double predictedMillis) implements Choice {
        /** Checks the parts. */
        public Chosen {
            Objects.requireNonNull(candidate, "candidate");
        }
    }

    /**
     * There are upstreams for it, but none has a place now.
     *
     * @param able how many there are
     */
    record Full(int able) implements Choice {}

    /**
     * No upstream can serve it now, but some are about to: they load weights or have just started.
     *
     * @param coming how many there are
     */
    record Coming(int coming) implements Choice {}

    /**
     * There is no upstream for it.
     *
     * @param detail why
     */
    record Nowhere(String detail) implements Choice {
        /** Checks the parts. */
        public Nowhere {
            Objects.requireNonNull(detail, "detail");
        }
    }
}

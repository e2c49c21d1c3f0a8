package org.galenahinge.bench.soak;

import java.util.List;

/**
 * What was done to an entry and around it.
 *
 * @param stops when each of its processes got its first SIGTERM, in nanoseconds of {@link System#nanoTime()}
 * @param reloads when it got SIGHUP, in the same clock
 * @param configs when a config was published, in the same clock; the store acknowledges it at once
 * @param freezes freezes of its processes
 * @param storeAway spans in which the store was away
 * @param starts when its processes were started, in the same clock
 * @param kills when its processes were killed, in the same clock
 */
record PlannedWork(
        List<Long> stops,
        List<Long> reloads,
        List<Long> configs,
        List<Span> freezes,
        List<Span> storeAway,
        List<Long> starts,
        List<Long> kills) {
    PlannedWork {
        stops = List.copyOf(stops);
        reloads = List.copyOf(reloads);
        configs = List.copyOf(configs);
        freezes = List.copyOf(freezes);
        storeAway = List.copyOf(storeAway);
        starts = List.copyOf(starts);
        kills = List.copyOf(kills);
    }

    /** Creates the work around an entry of which no process was killed. */
    PlannedWork(
            List<Long> stops,
            List<Long> reloads,
            List<Long> configs,
            List<Span> freezes,
            List<Span> storeAway,
            List<Long> starts) {
        this(stops, reloads, configs, freezes, storeAway, starts, List.of());
    }

    static PlannedWork none() {
        return new PlannedWork(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
    }
}

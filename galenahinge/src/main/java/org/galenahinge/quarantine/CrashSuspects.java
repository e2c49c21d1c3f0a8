package org.galenahinge.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenahinge.quarantine.CrashLedger.KnownCrash;

/**
 * Weighs what a trait explains against what it would explain by chance. Several upstreams that end at one moment have a reason
 * in common; a trait that several of them lacked is not that reason. It was there by chance, which is the likelier the more
 * requests there are.
 */
final class CrashSuspects {
    /** Fewer crashes at one moment may be two that have nothing in common. */
    private static final int MINIMUM_CRASHES = 3;

    /** How many of the crashes at one moment may have had another reason and come at that time by chance. */
    private static final int MAXIMUM_OTHERS = 1;

    private CrashSuspects() {}

    /** Returns the traits that are suspected of each crash, by the incarnation of its upstream. */
    static Map<Long, Set<RequestTrait>> of(Collection<KnownCrash> crashes) {
        Map<Long, Set<RequestTrait>> suspects = new LinkedHashMap<>();
        for (List<KnownCrash> moment : moments(crashes)) {
            Map<Long, Set<RequestTrait>> remaining = new LinkedHashMap<>();
            moment.forEach(known ->
                    remaining.put(known.crash().upstream(), known.crash().remaining()));
            suspects.putAll(moment.size() < MINIMUM_CRASHES ? remaining : nearlyAlwaysThere(remaining));
        }
        return suspects;
    }

    private static Map<Long, Set<RequestTrait>> nearlyAlwaysThere(Map<Long, Set<RequestTrait>> remaining) {
        Map<RequestTrait, Integer> crashesByTrait = new HashMap<>();
        remaining.values().forEach(traits -> traits.forEach(trait -> crashesByTrait.merge(trait, 1, Integer::sum)));
        Map<Long, Set<RequestTrait>> suspects = new LinkedHashMap<>();
        remaining.forEach((upstream, traits) -> suspects.put(
                upstream,
                traits.stream()
                        .filter(trait -> crashesByTrait.get(trait) >= remaining.size() - MAXIMUM_OTHERS)
                        .collect(Collectors.toUnmodifiableSet())));
        return suspects;
    }

    /** Groups crashes that happened within a moment of the first of them; many that follow each other are many moments. */
    private static List<List<KnownCrash>> moments(Collection<KnownCrash> crashes) {
        List<List<KnownCrash>> moments = new ArrayList<>();
        List<KnownCrash> moment = List.of();
        for (KnownCrash known : inOrder(crashes)) {
            boolean isNext =
                    moment.isEmpty() || known.crashNanos() - moment.get(0).crashNanos() > CrashMoments.MOMENT.toNanos();
            if (isNext) {
                moment = new ArrayList<>();
                moments.add(moment);
            }
            moment.add(known);
        }
        return moments;
    }

    private static List<KnownCrash> inOrder(Collection<KnownCrash> crashes) {
        Comparator<KnownCrash> oldestFirst = (first, second) -> Long.signum(first.crashNanos() - second.crashNanos());
        return crashes.stream().sorted(oldestFirst).toList();
    }
}

package org.galenahinge.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.galenahinge.quarantine.RequestTrait.Kind;

/**
 * Finds few causes that explain the crashes of upstreams: requests that were sent again and again, and parts of
 * prompts. The search is greedy: the one that explains most crashes is found first; the crashes that it explains speak against no other, which was
 * only there at the same time.
 *
 * <p>A request that explains hardly fewer crashes than any part is the cause rather than the part, which other requests
 * may contain. A part that explains more is the cause of those of the request, too: among many crashes, a request that is
 * sent again is soon there at several, whether or not it has the part.
 *
 * <p>Parts that explain the same crashes form one cause together: only requests that contain all of them are known to crash
 * engines. The next request with some of them decides which one it was.
 */
final class CrashAttribution {
    /** The number of crashes that make a request, or a part unless another one explains as many, the cause. */
    static final int MINIMUM_CRASHES = 3;

    /** The number of crashes after which there is no doubt about a cause. */
    static final int CERTAIN_CRASHES = 5;

    /** By how many crashes a part must explain more than any request to be the cause in its place. */
    private static final int MINIMUM_CRASHES_BEYOND_REQUEST = 2;

    private CrashAttribution() {}

    /**
     * What crashes upstreams.
     *
     * @param traits the traits; a request that has all of them crashes its upstream
     * @param crashes the number of crashes that they explain
     */
    record Cause(Set<RequestTrait> traits, int crashes) {
        Cause {
            traits = Set.copyOf(traits);
        }

        boolean isCertain() {
            return crashes >= CERTAIN_CRASHES;
        }
    }

    /** Finds the causes of crashes, each of which is given by its suspects; those that explain most come first. */
    static List<Cause> causes(Collection<Set<RequestTrait>> crashes) {
        List<Set<RequestTrait>> unexplained = new ArrayList<>(crashes);
        List<Cause> causes = new ArrayList<>();
        while (true) {
            List<Cause> next = nextCauses(unexplained);
            if (next.isEmpty()) {
                return causes;
            }
            causes.addAll(next);
            unexplained.replaceAll(traits -> containsAny(traits, next) ? Set.of() : traits);
        }
    }

    /**
     * Returns the causes that explain most of some crashes; empty if none explains {@link #MINIMUM_CRASHES}, or if parts
     * that overlap tie below {@link #CERTAIN_CRASHES}.
     */
    private static List<Cause> nextCauses(List<Set<RequestTrait>> unexplained) {
        Map<RequestTrait, Set<Integer>> requests = crashesByTrait(unexplained, Kind.WHOLE_REQUEST);
        Map<RequestTrait, Set<Integer>> parts = crashesByTrait(unexplained, Kind.PROMPT_PART);
        int mostByRequest = most(requests);
        int mostByPart = most(parts);
        if (mostByRequest >= MINIMUM_CRASHES && mostByPart < mostByRequest + MINIMUM_CRASHES_BEYOND_REQUEST) {
            return requests.entrySet().stream()
                    .filter(request -> request.getValue().size() == mostByRequest)
                    .map(request -> new Cause(Set.of(request.getKey()), mostByRequest))
                    .toList();
        }
        if (mostByPart < MINIMUM_CRASHES) {
            return List.of();
        }
        Map<Set<Integer>, Set<RequestTrait>> candidates = candidates(parts, mostByPart);
        if (mostByPart < CERTAIN_CRASHES && overlap(candidates.keySet())) {
            return List.of();
        }
        return candidates.values().stream()
                .map(together -> new Cause(together, mostByPart))
                .toList();
    }

    private static int most(Map<RequestTrait, Set<Integer>> crashesByTrait) {
        return crashesByTrait.values().stream().mapToInt(Set::size).max().orElse(0);
    }

    private static boolean containsAny(Set<RequestTrait> traits, Collection<Cause> causes) {
        return causes.stream().anyMatch(cause -> traits.containsAll(cause.traits()));
    }

    private static Map<RequestTrait, Set<Integer>> crashesByTrait(List<Set<RequestTrait>> unexplained, Kind kind) {
        Map<RequestTrait, Set<Integer>> crashesByTrait = new HashMap<>();
        for (int index = 0; index < unexplained.size(); index++) {
            for (RequestTrait trait : unexplained.get(index)) {
                if (trait.kind() == kind) {
                    crashesByTrait
                            .computeIfAbsent(trait, key -> new LinkedHashSet<>())
                            .add(index);
                }
            }
        }
        return crashesByTrait;
    }

    /** Groups the parts that explain most crashes by the crashes that they explain. */
    private static Map<Set<Integer>, Set<RequestTrait>> candidates(
            Map<RequestTrait, Set<Integer>> crashesByPart, int most) {
        Map<Set<Integer>, Set<RequestTrait>> candidates = new HashMap<>();
        crashesByPart.forEach((part, explained) -> {
            if (explained.size() == most) {
                candidates
                        .computeIfAbsent(explained, key -> new LinkedHashSet<>())
                        .add(part);
            }
        });
        return candidates;
    }

    private static boolean overlap(Collection<Set<Integer>> sets) {
        List<Set<Integer>> list = new ArrayList<>(sets);
        for (int index = 0; index < list.size(); index++) {
            for (Set<Integer> later : list.subList(index + 1, list.size())) {
                if (!Collections.disjoint(list.get(index), later)) {
                    return true;
                }
            }
        }
        return false;
    }
}

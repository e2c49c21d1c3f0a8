package org.galenahinge.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.galenahinge.quarantine.RequestTrait.Kind;

/**
 * Finds what explains the crashes of upstreams: requests that were sent again and again, and parts of prompts. The part
 * that explains most crashes is found first; the crashes that it explains speak against no other part, which was only there
 * at the same time.
 *
 * <p>A request that was there often enough is a cause by itself. It explains the parts that were there at hardly any other
 * crash.
 *
 * <p>Parts that explain the same crashes form one cause together: only requests that contain all of them are known to crash
 * engines. The next request with some of them decides which one it was.
 */
final class CrashAttribution {
    /** The number of crashes that make a request, or a part unless another one explains as many, the cause. */
    static final int MINIMUM_CRASHES = 3;

    /** The number of crashes after which there is no doubt about a cause. */
    static final int CERTAIN_CRASHES = 5;

    /** The number of crashes that no request explains which make a part that was there at enough others a cause, too. */
    private static final int MINIMUM_CRASHES_WITHOUT_REQUEST = 2;

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

    /** Finds the causes of crashes: requests, then parts of prompts, of which those that explain most come first. */
    static List<Cause> causes(Collection<Crash> crashes) {
        List<Set<RequestTrait>> remaining =
                crashes.stream().map(Crash::remaining).toList();
        Map<RequestTrait, Set<Integer>> requests = crashesByTrait(remaining, Kind.WHOLE_REQUEST);
        requests.values().removeIf(explained -> explained.size() < MINIMUM_CRASHES);
        List<Cause> causes = new ArrayList<>();
        requests.forEach((request, explained) -> causes.add(new Cause(Set.of(request), explained.size())));
        causes.addAll(causesAmongParts(remaining, requests.values()));
        return causes;
    }

    private static List<Cause> causesAmongParts(
            List<Set<RequestTrait>> remaining, Collection<Set<Integer>> explainedByRequests) {
        List<Set<RequestTrait>> unexplained = new ArrayList<>(remaining);
        List<Cause> causes = new ArrayList<>();
        while (true) {
            Map<RequestTrait, Set<Integer>> crashesByPart = crashesByTrait(unexplained, Kind.PROMPT_PART);
            crashesByPart.values().removeIf(explained -> isExplained(explained, explainedByRequests));
            int most = crashesByPart.values().stream().mapToInt(Set::size).max().orElse(0);
            if (most < MINIMUM_CRASHES) {
                return causes;
            }
            Map<Set<Integer>, Set<RequestTrait>> candidates = candidates(crashesByPart, most);
            if (most < CERTAIN_CRASHES && overlap(candidates.keySet())) {
                return causes;
            }
            candidates.forEach((explained, parts) -> {
                causes.add(new Cause(parts, most));
                explained.forEach(index -> unexplained.set(index, Set.of()));
            });
        }
    }

    /** Tells whether requests explain so many of the crashes at which a part was there that the part is no cause. */
    private static boolean isExplained(Set<Integer> crashes, Collection<Set<Integer>> explainedByRequests) {
        Set<Integer> others = new HashSet<>(crashes);
        explainedByRequests.forEach(others::removeAll);
        int needed = crashes.size() < CERTAIN_CRASHES ? MINIMUM_CRASHES : MINIMUM_CRASHES_WITHOUT_REQUEST;
        return others.size() < needed;
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

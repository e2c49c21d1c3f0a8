package org.galenahinge.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds the parts of prompts that explain the crashes of engines. The part that explains most crashes is found first; the
 * crashes that it explains speak against no other part, which was only there at the same time.
 *
 * <p>Parts that explain the same crashes form one cause together: only requests that contain all of them are known to crash
 * engines. The next request with some of them decides which one it was.
 */
final class CrashAttribution {
    /** The number of crashes that make a part the cause, unless another part explains as many. */
    static final int MINIMUM_CRASHES = 3;

    /** The number of crashes that make a part the cause in any case. */
    static final int CERTAIN_CRASHES = 5;

    private CrashAttribution() {}

    /**
     * What crashes engines.
     *
     * @param parts the parts; a request that contains all of them crashes its engine
     * @param crashes the number of crashes that they explain
     */
    record Cause(Set<PromptPart> parts, int crashes) {
        Cause {
            parts = Set.copyOf(parts);
        }

        boolean isCertain() {
            return crashes >= CERTAIN_CRASHES;
        }
    }

    /** Finds the causes of crashes; those that explain most come first. */
    static List<Cause> causes(Collection<Crash> crashes) {
        List<Set<PromptPart>> unexplained =
                crashes.stream().map(Crash::remaining).collect(Collectors.toCollection(ArrayList::new));
        List<Cause> causes = new ArrayList<>();
        while (true) {
            Map<PromptPart, Set<Integer>> crashesByPart = crashesByPart(unexplained);
            int most = crashesByPart.values().stream().mapToInt(Set::size).max().orElse(0);
            if (most < MINIMUM_CRASHES) {
                return causes;
            }
            Map<Set<Integer>, Set<PromptPart>> candidates = candidates(crashesByPart, most);
            if (most < CERTAIN_CRASHES && overlap(candidates.keySet())) {
                return causes;
            }
            candidates.forEach((explained, parts) -> {
                causes.add(new Cause(parts, most));
                explained.forEach(index -> unexplained.set(index, Set.of()));
            });
        }
    }

    private static Map<PromptPart, Set<Integer>> crashesByPart(List<Set<PromptPart>> unexplained) {
        Map<PromptPart, Set<Integer>> crashesByPart = new HashMap<>();
        for (int index = 0; index < unexplained.size(); index++) {
            for (PromptPart part : unexplained.get(index)) {
                crashesByPart
                        .computeIfAbsent(part, key -> new LinkedHashSet<>())
                        .add(index);
            }
        }
        return crashesByPart;
    }

    /** Groups the parts that explain most crashes by the crashes that they explain. */
    private static Map<Set<Integer>, Set<PromptPart>> candidates(
            Map<PromptPart, Set<Integer>> crashesByPart, int most) {
        Map<Set<Integer>, Set<PromptPart>> candidates = new HashMap<>();
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

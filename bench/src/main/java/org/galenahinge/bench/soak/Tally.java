package org.galenahinge.bench.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Counts findings, and judges those that break a promise only by their number. Not safe for use by several threads. */
final class Tally {
    private final Map<Finding, Integer> counts = new EnumMap<>(Finding.class);
    private final Map<Integer, Integer> besideConfig = new TreeMap<>();
    private final Map<Integer, Integer> atOtherTimes = new TreeMap<>();

    void add(Finding finding, int entry) {
        counts.merge(finding, 1, Integer::sum);
        if (finding == Finding.CUT_BESIDE_CONFIG) {
            besideConfig.merge(entry, 1, Integer::sum);
        }
        if (finding == Finding.CUT_AT_ANY_TIME) {
            atOtherTimes.merge(entry, 1, Integer::sum);
        }
    }

    int count(Finding finding) {
        return counts.getOrDefault(finding, 0);
    }

    /**
     * Judges the numbers.
     *
     * @param configShare the part of the time that lies beside a config, from 0 to 1
     * @return a line for each broken promise
     */
    List<String> violationsByNumber(double configShare) {
        List<String> lines = new ArrayList<>();
        if (count(Finding.CUT_AT_ANY_TIME) > Bounds.ANY_TIME_CUTS) {
            lines.add("LOST: undisturbed entries cut " + count(Finding.CUT_AT_ANY_TIME) + " requests");
        }
        besideConfig.forEach((entry, cuts) -> {
            int others = atOtherTimes.getOrDefault(entry, 0);
            if (cuts * (1 - configShare) > Bounds.BESIDE_CONFIG_FACTOR * others * configShare) {
                lines.add("LOST: edge-" + entry + " cut " + cuts + " requests beside configs, " + others + " else");
            }
        });
        return lines;
    }

    /** Returns whether a finding was counted that breaks a promise by itself. */
    boolean hasViolation() {
        return counts.keySet().stream().anyMatch(Finding::isViolation);
    }

    @Override
    public String toString() {
        return counts.entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue())
                .collect(Collectors.joining(", "));
    }
}

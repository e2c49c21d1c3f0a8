package org.galenahinge.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntSupplier;
import org.galenahinge.catalog.EngineProfile;

/**
 * Chooses the upstream for a request: the one with the earliest predicted answer, with a handicap for each border that
 * lies between. Near ties are broken at random, so that several nodes with the same facts do not choose alike.
 */
public final class Placement {
    /** What an upstream in another failure domain must be faster by to be chosen, in milliseconds. */
    private static final double BORDER_HANDICAP_MILLIS = 40;

    /** What an upstream whose reports have stopped must be faster by: its VM may stand still. */
    private static final double SILENT_HANDICAP_MILLIS = 400;

    private static final int PLACES_KEPT_FROM_LATE = 2;
    private static final double OVERRUN_WEIGHT = 0.3;
    private static final double TIE_MILLIS = 8;
    private static final double PLAIN_CALL_MILLIS = 20;
    private static final int PLAIN_PLACES_SHARED_BY = 3;

    private final String zone;
    private final IntSupplier nodes;
    private final Random random;

    private Placement(String zone, IntSupplier nodes, Random random) {
        this.zone = zone;
        this.nodes = nodes;
        this.random = random;
    }

    /**
     * Creates a placement.
     *
     * @param zone the failure domain of the own VM
     * @param nodes how many nodes choose among the same upstreams, the own one included
     * @param seed the seed of what is random
     * @return the placement
     */
    public static Placement create(String zone, IntSupplier nodes, long seed) {
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(nodes, "nodes");
        return new Placement(zone, nodes, new Random(seed));
    }

    /**
     * Chooses.
     *
     * @param candidates the upstreams of the service
     * @param engine the figures of its engines, empty for a plain service
     * @param demand what the request asks
     * @param nowNanos the time, in nanoseconds
     * @return the choice
     */
    public Choice choose(List<Candidate> candidates, Optional<EngineProfile> engine, Demand demand, long nowNanos) {
        Candidate best = null;
        double bestScore = Double.MAX_VALUE;
        double bestPredicted = 0;
        int able = 0;
        int coming = 0;
        for (Candidate candidate : candidates) {
            if (!isAble(candidate, engine, demand, nowNanos)) {
                coming += isComing(candidate, engine, demand, nowNanos) ? 1 : 0;
                continue;
            }
            able++;
            if (!hasPlace(candidate, engine, demand, nowNanos)) {
                continue;
            }
            double predicted = predict(candidate, engine, demand, nowNanos);
            double score = predicted
                    + handicap(candidate, nowNanos)
                    + overrunMillis(candidate, engine, demand, predicted, nowNanos) * OVERRUN_WEIGHT
                    + random.nextDouble() * TIE_MILLIS;
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
                bestPredicted = predicted;
            }
        }
        if (best != null) {
            return new Choice.Chosen(best, bestPredicted);
        }
        if (able > 0) {
            return new Choice.Full(able);
        }
        return coming > 0 ? new Choice.Coming(coming) : new Choice.Nowhere(nowhere(candidates, demand));
    }

    /**
     * An engine that loads, that this node knows only by an entry in the store so far, or that has just started again, is
     * ready within a second or two.
     */
    private static boolean isComing(Candidate candidate, Optional<EngineProfile> engine, Demand demand, long nowNanos) {
        boolean fits = demand.prompt().map(PromptShape::totalTokens).orElse(0L)
                <= engine.map(EngineProfile::memoryTokens).orElse(0L);
        boolean soon = candidate.load().isUnproven(nowNanos)
                || candidate.load().isReplaced(nowNanos)
                || candidate
                        .load()
                        .report(nowNanos)
                        .filter(UpstreamLoad.LoadReport::loading)
                        .isPresent();
        return fits
                && soon
                && !candidate.upstream().leaving()
                && !demand.excluded().contains(candidate.upstream().id());
    }

    private static boolean isAble(Candidate candidate, Optional<EngineProfile> engine, Demand demand, long nowNanos) {
        if (candidate.upstream().leaving()
                || demand.excluded().contains(candidate.upstream().id())) {
            return false;
        }
        if (engine.isEmpty()) {
            return true;
        }
        return !candidate.load().isUnproven(nowNanos)
                && !candidate.load().isReplaced(nowNanos)
                && holdsWeights(candidate, demand, nowNanos)
                && demand.prompt().map(PromptShape::totalTokens).orElse(0L)
                        <= engine.get().memoryTokens();
    }

    private static boolean holdsWeights(Candidate candidate, Demand demand, long nowNanos) {
        var reported = candidate.load().report(nowNanos);
        var weights = reported.isPresent()
                ? reported.get().weights()
                : candidate.upstream().weights();
        if (weights.isEmpty()) {
            return false;
        }
        boolean rightModel = demand.prompt()
                .map(prompt -> prompt.model().equals(weights.get().model()))
                .orElse(true);
        return rightModel && weights.get().version() >= demand.leastVersion().orElse(0);
    }

    private boolean hasPlace(Candidate candidate, Optional<EngineProfile> engine, Demand demand, long nowNanos) {
        if (candidate.load().isResting(nowNanos)) {
            return false;
        }
        if (engine.isEmpty()) {
            return candidate.load().ownCalls()
                    < Math.max(1, candidate.upstream().slots());
        }
        var report = candidate.load().report(nowNanos);
        if (report.isPresent() && report.get().loading()) {
            return false;
        }
        double context = report.map(UpstreamLoad.LoadReport::contextTokens).orElse(0.0);
        long wanted = demand.prompt().map(PromptShape::totalTokens).orElse(0L);
        int kept = demand.late() ? PLACES_KEPT_FROM_LATE : 0;
        int slots = engine.get().slots();
        return candidate.load().allCalls(nowNanos) < slots - kept
                && candidate.load().hasShareLeft(slots, nodes.getAsInt(), nowNanos)
                && context + wanted <= engine.get().memoryTokens();
    }

    private static double predict(Candidate candidate, Optional<EngineProfile> engine, Demand demand, long nowNanos) {
        if (engine.isEmpty()) {
            return candidate.load().ownCalls() * PLAIN_CALL_MILLIS * PLAIN_PLACES_SHARED_BY;
        }
        int prompt = demand.prompt().map(PromptShape::promptTokens).orElse(0);
        return EngineModel.of(engine.get())
                .firstTokenMillis(candidate.load().engineState(engine.get(), nowNanos), prompt);
    }

    /** How long a request would keep an engine from loading: the shorter ones go to those that load soon. */
    private static double overrunMillis(
            Candidate candidate, Optional<EngineProfile> engine, Demand demand, double predicted, long nowNanos) {
        var untilLoad = candidate.load().report(nowNanos).flatMap(UpstreamLoad.LoadReport::untilLoad);
        if (engine.isEmpty() || untilLoad.isEmpty() || demand.prompt().isEmpty()) {
            return 0;
        }
        double writing = EngineModel.of(engine.get())
                .writeMillis(
                        candidate.load().engineState(engine.get(), nowNanos),
                        demand.prompt().get().answerTokens());
        return Math.max(0, predicted + writing - untilLoad.get().toMillis());
    }

    private double handicap(Candidate candidate, long nowNanos) {
        double border = candidate.upstream().zone().equals(zone) ? 0 : BORDER_HANDICAP_MILLIS;
        return border + (candidate.load().isSilent(nowNanos) ? SILENT_HANDICAP_MILLIS : 0);
    }

    private static String nowhere(List<Candidate> candidates, Demand demand) {
        if (candidates.isEmpty()) {
            return "the service has no upstream";
        }
        return "none of " + candidates.size() + " upstreams can serve it, "
                + demand.excluded().size() + " were tried";
    }
}

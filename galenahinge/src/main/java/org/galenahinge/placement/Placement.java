package org.galenahinge.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import java.util.function.UnaryOperator;
import org.galenahinge.catalog.AllowedRegions;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;

/**
 * Chooses the upstream for a request: the one with the earliest predicted response, after adding penalties for another
 * failure domain and for overdue reports. Near ties are broken at random, so that nodes with the same facts do not all
 * choose the same upstream.
 */
public final class Placement {
    /** An upstream in another failure domain must be faster by this much to be chosen. */
    private static final double OTHER_DOMAIN_PENALTY_MILLIS = 40;

    /** An upstream whose reports are overdue must be faster by this much to be chosen: its VM may be unresponsive. */
    private static final double OVERDUE_REPORT_PENALTY_MILLIS = 400;

    /** An upstream that has lately asked for time must be faster by this much to get a retry: it may reject it too. */
    private static final double RETRY_AT_RETURN_PENALTY_MILLIS = 400;

    /** An upstream that has just become cold must be faster by this much to be chosen. */
    private static final double COLD_PENALTY_MILLIS = 400;

    private static final int SLOTS_RESERVED_FOR_ON_TIME = 2;
    private static final double OVERRUN_WEIGHT = 0.3;
    private static final double TIE_MILLIS = 8;
    private static final double PLAIN_REQUEST_MILLIS = 20;
    private static final int NODES_PER_PLAIN_UPSTREAM = 3;

    /** A request that any upstream of a service could serve. */
    private static final PlacementRequest ANY_REQUEST =
            new PlacementRequest(Optional.empty(), Set.of(), OptionalLong.empty(), false);

    private final String zone;
    private final IntSupplier nodes;
    private final UpstreamLimit limit;
    private final Availability availability;
    private final UpstreamRegions regions;
    private final Random random;

    private Placement(
            String zone,
            IntSupplier nodes,
            UpstreamLimit limit,
            Availability availability,
            UpstreamRegions regions,
            Random random) {
        this.zone = zone;
        this.nodes = nodes;
        this.limit = limit;
        this.availability = availability;
        this.regions = regions;
        this.random = random;
    }

    /** Counts the upstreams that want no requests for a time, and finds the first to which this node returns. */
    private static final class FirstReturn {
        private int paused;
        private long nanos;

        void add(RetryAfterPause pause, long nowNanos) {
            if (!pause.isActive(nowNanos)) {
                return;
            }
            nanos = paused == 0 || pause.returnNanos() - nanos < 0 ? pause.returnNanos() : nanos;
            paused++;
        }
    }

    /** The limits of upstreams for the requests that they accept. */
    @FunctionalInterface
    public interface UpstreamLimit {
        /**
         * Returns whether an upstream's limit lets this node send it a request now.
         *
         * @param upstream the upstream
         * @param nowNanos the time, in nanoseconds
         * @return whether it does
         */
        boolean allows(Upstream upstream, long nowNanos);

        /**
         * Returns the part of its cold time that an upstream still has ahead.
         *
         * @param upstream the upstream
         * @param nowNanos the time, in nanoseconds
         * @return from 0 for a warm upstream to 1 for one that has just become cold
         */
        default double coldShare(Upstream upstream, long nowNanos) {
            return 0;
        }
    }

    /**
     * Creates a placement.
     *
     * @param zone failure domain of this VM
     * @param nodes number of nodes that send to the same upstreams, this one included
     * @param seed seed of the random tie breaking
     * @return the placement
     */
    public static Placement create(String zone, IntSupplier nodes, long seed) {
        return create(zone, nodes, (upstream, nowNanos) -> true, seed);
    }

    /**
     * Creates a placement that keeps to the limits that upstreams name.
     *
     * @param zone failure domain of this VM
     * @param nodes number of nodes that send to the same upstreams, this one included
     * @param limit the limits
     * @param seed seed of the random tie breaking
     * @return the placement
     */
    public static Placement create(String zone, IntSupplier nodes, UpstreamLimit limit, long seed) {
        return create(zone, nodes, limit, Availability.ALL, UnaryOperator.identity(), seed);
    }

    /**
     * Creates a placement that keeps to the limits of upstreams, to the evacuations of the operators and to the regions that
     * requests allow.
     *
     * @param zone failure domain of this VM
     * @param nodes number of nodes that send to the same upstreams, this one included
     * @param limit the limits
     * @param availability to which upstreams requests may be sent
     * @param regionOf returns the region of a failure domain
     * @param seed seed of the random tie breaking
     * @return the placement
     */
    public static Placement create(
            String zone,
            IntSupplier nodes,
            UpstreamLimit limit,
            Availability availability,
            UnaryOperator<String> regionOf,
            long seed) {
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(nodes, "nodes");
        Objects.requireNonNull(limit, "limit");
        Objects.requireNonNull(availability, "availability");
        return new Placement(zone, nodes, limit, availability, new UpstreamRegions(regionOf), new Random(seed));
    }

    /**
     * Chooses an upstream for a request among all upstreams of its service.
     *
     * @param service the upstreams of the service
     * @param request what the request requires
     * @param nowNanos the time, in nanoseconds
     * @return the decision
     */
    public PlacementDecision choose(ServiceUpstreams service, PlacementRequest request, long nowNanos) {
        return choose(service, service.candidates(), request, nowNanos);
    }

    /**
     * Chooses an upstream for a request among some upstreams of its service.
     *
     * @param service the upstreams of the service
     * @param offered those to choose from
     * @param request what the request requires
     * @param nowNanos the time, in nanoseconds
     * @return the decision
     */
    public PlacementDecision choose(
            ServiceUpstreams service, List<PlacementCandidate> offered, PlacementRequest request, long nowNanos) {
        Optional<EngineProfile> engine = service.engine();
        boolean mayClaimSlots = service.mayClaimSlots(nodes.getAsInt(), availability, nowNanos);
        PlacementCandidate best = null;
        double bestScore = Double.MAX_VALUE;
        double bestPredicted = 0;
        int eligible = 0;
        int starting = 0;
        FirstReturn firstReturn = new FirstReturn();
        for (PlacementCandidate candidate : regions.allowed(offered, request.allowedRegions())) {
            if (!isEligible(candidate, engine, request, nowNanos)) {
                starting += isAvailable(candidate) && isStartingUp(candidate, engine, request, nowNanos) ? 1 : 0;
                continue;
            }
            eligible++;
            firstReturn.add(candidate.load().pause(), nowNanos);
            if (!hasCapacity(candidate, engine, request, mayClaimSlots, nowNanos)) {
                continue;
            }
            double predicted = predictMillis(candidate, engine, request, nowNanos);
            double score = predicted
                    + penaltyMillis(candidate, request, nowNanos)
                    + (request.prompt().isEmpty() ? 0 : service.promptSizes().penaltyMillis(candidate.load(), nowNanos))
                    + overrunMillis(candidate, engine, request, predicted, nowNanos) * OVERRUN_WEIGHT
                    + random.nextDouble() * TIE_MILLIS;
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
                bestPredicted = predicted;
            }
        }
        if (best != null) {
            return new PlacementDecision.Chosen(best, bestPredicted);
        }
        if (eligible > 0 && (starting == 0 || firstReturn.paused < eligible)) {
            return firstReturn.paused < eligible
                    ? new PlacementDecision.Full(eligible)
                    : new PlacementDecision.Paused(firstReturn.nanos);
        }
        if (!regions.hasAllowed(service.candidates(), request.allowedRegions())) {
            return new PlacementDecision.OutsideRegions(request.allowedRegions());
        }
        return starting > 0
                ? new PlacementDecision.StartingUp(starting)
                : withoutSuitable(offered, engine, request, nowNanos);
    }

    /** Returns why no upstream can serve a request, now or soon. */
    private PlacementDecision withoutSuitable(
            List<PlacementCandidate> offered, Optional<EngineProfile> engine, PlacementRequest request, long nowNanos) {
        SortedSet<String> evacuated = new TreeSet<>();
        for (PlacementCandidate candidate : regions.allowed(offered, request.allowedRegions())) {
            if (!isAvailable(candidate) && isSuitable(candidate, engine, request, nowNanos)) {
                evacuated.add(candidate.upstream().zone());
            }
        }
        return evacuated.isEmpty()
                ? new PlacementDecision.Unavailable(unavailableDetail(offered, request))
                : new PlacementDecision.Evacuated(evacuated);
    }

    /**
     * Tells whether any upstream of a service can serve a request now or soon, whether or not it has a free slot.
     *
     * @param service the upstreams of the service
     * @param request what the request requires
     * @param nowNanos the time, in nanoseconds
     * @return whether one can
     */
    public boolean canServe(ServiceUpstreams service, PlacementRequest request, long nowNanos) {
        return regions.allowed(service.candidates(), request.allowedRegions()).stream()
                .anyMatch(candidate ->
                        isAvailable(candidate) && isSuitable(candidate, service.engine(), request, nowNanos));
    }

    /**
     * Returns when the first upstream of a service wants requests again, if all that can serve have named a time for that.
     *
     * @param service the upstreams of the service
     * @param nowNanos the time, in nanoseconds
     * @return the time, in nanoseconds; empty if some upstream has named none, or may start before
     */
    public OptionalLong returnNanos(ServiceUpstreams service, long nowNanos) {
        return returnNanos(service, ANY_REQUEST, nowNanos);
    }

    /**
     * Returns when the first upstream of a service in some regions wants requests again, if all there that can serve have
     * named a time for that.
     *
     * @param service the upstreams of the service
     * @param allowed the regions
     * @param nowNanos the time, in nanoseconds
     * @return the time, in nanoseconds; empty if some upstream there has named none, or may start before
     */
    public OptionalLong returnNanos(ServiceUpstreams service, AllowedRegions allowed, long nowNanos) {
        PlacementRequest request =
                new PlacementRequest(Optional.empty(), Set.of(), OptionalLong.empty(), false, allowed);
        return returnNanos(service, request, nowNanos);
    }

    private OptionalLong returnNanos(ServiceUpstreams service, PlacementRequest request, long nowNanos) {
        boolean anyPaused = service.candidates().stream()
                .anyMatch(candidate -> candidate.load().pause().isActive(nowNanos));
        return anyPaused && choose(service, request, nowNanos) instanceof PlacementDecision.Paused paused
                ? OptionalLong.of(paused.returnNanos())
                : OptionalLong.empty();
    }

    /**
     * Selects the upstreams to which this node may send some request now. A particular request may still not fit there.
     *
     * @param service the upstreams of the service
     * @param offered those to select from
     * @param nowNanos the time, in nanoseconds
     * @return those with a slot for this node
     */
    public List<PlacementCandidate> withFreeSlot(
            ServiceUpstreams service, List<PlacementCandidate> offered, long nowNanos) {
        boolean mayClaimSlots = service.mayClaimSlots(nodes.getAsInt(), availability, nowNanos);
        return offered.stream()
                .filter(candidate -> isEligible(candidate, service.engine(), ANY_REQUEST, nowNanos))
                .filter(candidate -> hasCapacity(candidate, service.engine(), ANY_REQUEST, mayClaimSlots, nowNanos))
                .toList();
    }

    /**
     * Returns the regions of some upstreams.
     *
     * @param candidates the upstreams
     * @return their regions
     */
    public Set<String> regionsOf(List<PlacementCandidate> candidates) {
        return regions.of(candidates);
    }

    /**
     * An engine is ready within a second or two if it is loading weights, has just restarted, or is so far known only by
     * its upstream record in the store.
     */
    private static boolean isStartingUp(
            PlacementCandidate candidate, Optional<EngineProfile> engine, PlacementRequest request, long nowNanos) {
        boolean fitsMemory = request.prompt().map(PromptShape::totalTokens).orElse(0L)
                <= engine.map(EngineProfile::memoryTokens).orElse(0L);
        boolean readySoon = candidate.load().isAwaitingFirstReport(nowNanos)
                || candidate.load().isReplaced(nowNanos)
                || candidate.load().report(nowNanos).filter(LoadReport::loading).isPresent();
        return fitsMemory
                && readySoon
                && !candidate.upstream().leaving()
                && !request.excluded().contains(candidate.upstream().id());
    }

    private boolean isAvailable(PlacementCandidate candidate) {
        return availability.isAvailable(candidate.upstream());
    }

    private boolean isEligible(
            PlacementCandidate candidate, Optional<EngineProfile> engine, PlacementRequest request, long nowNanos) {
        return isAvailable(candidate) && isAbleToServe(candidate, engine, request, nowNanos);
    }

    /** Whether an upstream can serve a request now or soon, if it may get one. */
    private static boolean isSuitable(
            PlacementCandidate candidate, Optional<EngineProfile> engine, PlacementRequest request, long nowNanos) {
        return isAbleToServe(candidate, engine, request, nowNanos)
                || isStartingUp(candidate, engine, request, nowNanos);
    }

    private static boolean isAbleToServe(
            PlacementCandidate candidate, Optional<EngineProfile> engine, PlacementRequest request, long nowNanos) {
        if (candidate.upstream().leaving()
                || request.excluded().contains(candidate.upstream().id())) {
            return false;
        }
        if (engine.isEmpty()) {
            return true;
        }
        return !candidate.load().isAwaitingFirstReport(nowNanos)
                && !candidate.load().isReplaced(nowNanos)
                && hasWeights(candidate, request, nowNanos)
                && request.prompt().map(PromptShape::totalTokens).orElse(0L)
                        <= engine.get().memoryTokens();
    }

    private static boolean hasWeights(PlacementCandidate candidate, PlacementRequest request, long nowNanos) {
        Optional<WeightsVersion> weights = candidate.weights(nowNanos);
        if (weights.isEmpty()) {
            return false;
        }
        boolean sameModel = request.prompt()
                .map(prompt -> prompt.model().equals(weights.get().model()))
                .orElse(true);
        return sameModel && weights.get().version() >= request.minimumVersion().orElse(0);
    }

    private boolean hasCapacity(
            PlacementCandidate candidate,
            Optional<EngineProfile> engine,
            PlacementRequest request,
            boolean mayClaimSlots,
            long nowNanos) {
        if (candidate.load().isBackingOff(nowNanos) || !limit.allows(candidate.upstream(), nowNanos)) {
            return false;
        }
        if (engine.isEmpty()) {
            return candidate.load().ownInFlight()
                    < Math.max(1, candidate.upstream().slots());
        }
        var report = candidate.load().report(nowNanos);
        if (report.isPresent() && report.get().loading()) {
            return false;
        }
        double contextTokens = report.map(LoadReport::contextTokens).orElse(0.0);
        long requestTokens = request.prompt().map(PromptShape::totalTokens).orElse(0L);
        int reserved = request.late() ? SLOTS_RESERVED_FOR_ON_TIME : 0;
        int slots = engine.get().slots();
        int claimed = mayClaimSlots && !request.late() ? 1 : 0;
        return candidate.load().totalInFlight(nowNanos) < slots + claimed - reserved
                && candidate.load().hasShareLeft(slots, nodes.getAsInt(), mayClaimSlots, nowNanos)
                && contextTokens + requestTokens <= engine.get().memoryTokens();
    }

    private static double predictMillis(
            PlacementCandidate candidate, Optional<EngineProfile> engine, PlacementRequest request, long nowNanos) {
        if (engine.isEmpty()) {
            return candidate.load().ownInFlight() * PLAIN_REQUEST_MILLIS * NODES_PER_PLAIN_UPSTREAM;
        }
        int prompt = request.prompt().map(PromptShape::promptTokens).orElse(0);
        return EngineModel.of(engine.get())
                .firstTokenMillis(candidate.load().engineState(engine.get(), nowNanos), prompt);
    }

    /** Time by which a request would delay a scheduled reload: shorter requests go to engines that reload soon. */
    private static double overrunMillis(
            PlacementCandidate candidate,
            Optional<EngineProfile> engine,
            PlacementRequest request,
            double predictedMillis,
            long nowNanos) {
        var untilReload = candidate.load().report(nowNanos).flatMap(LoadReport::untilReload);
        if (engine.isEmpty() || untilReload.isEmpty() || request.prompt().isEmpty()) {
            return 0;
        }
        double decodeMillis = EngineModel.of(engine.get())
                .decodeMillis(
                        candidate.load().engineState(engine.get(), nowNanos),
                        request.prompt().get().outputTokens());
        return Math.max(0, predictedMillis + decodeMillis - untilReload.get().toMillis());
    }

    private double penaltyMillis(PlacementCandidate candidate, PlacementRequest request, long nowNanos) {
        double domain = candidate.upstream().zone().equals(zone) ? 0 : OTHER_DOMAIN_PENALTY_MILLIS;
        double overdue = candidate.load().isReportOverdue(nowNanos) ? OVERDUE_REPORT_PENALTY_MILLIS : 0;
        boolean mayRejectARetry =
                !request.excluded().isEmpty() && candidate.load().pause().isReturning(nowNanos);
        double cold = COLD_PENALTY_MILLIS * limit.coldShare(candidate.upstream(), nowNanos);
        return domain + overdue + cold + (mayRejectARetry ? RETRY_AT_RETURN_PENALTY_MILLIS : 0);
    }

    private static String unavailableDetail(List<PlacementCandidate> candidates, PlacementRequest request) {
        if (candidates.isEmpty()) {
            return "the service has no upstream";
        }
        return "none of " + candidates.size() + " upstreams can serve the request, "
                + request.excluded().size() + " were tried";
    }
}

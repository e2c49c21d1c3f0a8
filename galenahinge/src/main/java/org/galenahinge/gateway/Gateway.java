package org.galenahinge.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import org.galenahinge.catalog.AllowedRegions;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.AdmissionQueue;
import org.galenahinge.placement.LoadReport;
import org.galenahinge.placement.Placement;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.PlacementDecision;
import org.galenahinge.placement.PlacementRate;
import org.galenahinge.placement.PlacementRequest;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.PromptSizePolicy;
import org.galenahinge.placement.ServiceRetryBudget;
import org.galenahinge.placement.ServiceUpstreams;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.upstream.LeavingUpstreams.AgedIncarnation;
import org.galenahinge.upstream.LeavingUpstreams.Source;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.UpstreamPool;
import org.galenahinge.wire.WireAddress;

/** Forwards requests of callers to upstreams and holds the state that they share. Used by one network thread only. */
public final class Gateway {
    private static final int WAITING_CAPACITY = 256;
    private static final Duration QUEUE_SCAN_INTERVAL = Duration.ofMillis(20);
    /** How long before the end of a version's rollout time nothing more is placed on an older one. */
    private static final Duration PLACEMENT_MARGIN = Duration.ofMillis(1_500);

    /** How long before that end requests that have not begun on an older one are withdrawn. Nodes may hear of it late. */
    private static final Duration WITHDRAWAL_MARGIN = Duration.ofMillis(900);

    private final GatewaySettings settings;
    private final FleetFacts facts;
    private final RequestTranslator translator;
    private final Timers timers;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final IntSupplier nodes;
    private final Placement placement;
    private final Random random;
    private final UpstreamTable upstreams;
    private final CrashLedger crashLedger;
    private final CrashDetector crashDetector;
    private final ColdUpstreams coldUpstreams;
    private final UpstreamLimits limits;
    private final PromptSizePolicies promptSizes;
    private final UnstartedAttempts unstartedAttempts;
    private final BufferBudget bufferBudget;
    private final Map<String, ServiceQueue> serviceQueues = new HashMap<>();
    private final Set<ForwardedRequest> awaitingConfiguration = new LinkedHashSet<>();
    private boolean queueScanScheduled;
    private Optional<StopSchedule> stop = Optional.empty();

    private Gateway(
            GatewaySettings settings,
            EventLoop loop,
            FleetFacts facts,
            RequestTranslator translator,
            Timers timers,
            EventLog log,
            MetricRegistry registry,
            IntSupplier nodes,
            CrashLedger crashLedger,
            NamedLimits namedLimits,
            long seed) {
        this.settings = settings;
        this.facts = facts;
        this.translator = translator;
        this.timers = timers;
        this.log = log;
        this.metrics = new GatewayMetrics(registry);
        this.nodes = nodes;
        this.coldUpstreams = new ColdUpstreams(namedLimits, settings.coldStartBounds(), timers, log);
        this.limits = new UpstreamLimits(namedLimits, coldUpstreams, timers);
        this.placement =
                Placement.create(settings.failureDomain(), nodes, limits, this::isAvailable, settings.regionOf(), seed);
        this.promptSizes = new PromptSizePolicies(log, registry);
        this.random = new Random(seed);
        this.upstreams = new UpstreamTable(loop, timers, registry.counter("upstream.connections.opened"));
        this.crashLedger = crashLedger;
        this.unstartedAttempts = new UnstartedAttempts(timers, this::versionRequiredToBegin);
        this.crashDetector = new CrashDetector(crashLedger, timers, log);
        this.bufferBudget = BufferBudget.ofHeap(Runtime.getRuntime().maxMemory(), timers);
        registry.gauge("upstream.known", () -> upstreams::size);
        registry.gauge("upstreams.cold", () -> coldUpstreams::count);
    }

    /**
     * Creates a gateway.
     *
     * @param settings the settings
     * @param loop the thread that runs it
     * @param facts the published facts of the fleet
     * @param translator translates headers
     * @param timers the clock
     * @param log the log for decisions
     * @param registry the registry for metrics
     * @param nodes returns the number of nodes that share the retry budgets and the capacity of upstreams
     * @param crashLedger the crashes of engines that this and other nodes have seen
     * @param namedLimits the limits that upstreams have named to this and other nodes
     * @param seed the seed for random choices
     * @return the gateway
     */
    public static Gateway create(
            GatewaySettings settings,
            EventLoop loop,
            FleetFacts facts,
            RequestTranslator translator,
            Timers timers,
            EventLog log,
            MetricRegistry registry,
            IntSupplier nodes,
            CrashLedger crashLedger,
            NamedLimits namedLimits,
            long seed) {
        return new Gateway(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(loop, "loop"),
                Objects.requireNonNull(facts, "facts"),
                Objects.requireNonNull(translator, "translator"),
                Objects.requireNonNull(timers, "timers"),
                Objects.requireNonNull(log, "log"),
                Objects.requireNonNull(registry, "registry"),
                Objects.requireNonNull(nodes, "nodes"),
                Objects.requireNonNull(crashLedger, "crashLedger"),
                Objects.requireNonNull(namedLimits, "namedLimits"),
                seed);
    }

    /** Applies changed facts: updates the upstreams, then starts requests that wait for a configuration or a slot. */
    public void factsChanged() {
        upstreams.refresh(facts.upstreams());
        coldUpstreams.refresh(facts.upstreams(), facts.catalog());
        promptSizes.refresh(facts.catalog());
        if (facts.catalog().isPresent()) {
            List<ForwardedRequest> starting = List.copyOf(awaitingConfiguration);
            awaitingConfiguration.clear();
            starting.forEach(ForwardedRequest::start);
        }
        serveWaiting();
        rejectWaitingWithoutUpstream();
        rejectWaitingForEvacuated();
    }

    /**
     * Holds a request until the first configuration is known, shortly after a start; returns false if too many requests
     * are held or this one is held already.
     */
    boolean awaitConfiguration(ForwardedRequest request) {
        return awaitingConfiguration.size() < WAITING_CAPACITY && awaitingConfiguration.add(request);
    }

    void stopAwaitingConfiguration(ForwardedRequest request) {
        awaitingConfiguration.remove(request);
    }

    /**
     * Records the load report of a slot process for its upstream.
     *
     * @param address where the upstream listens
     * @param incarnation when the upstream started, in milliseconds since the epoch, so that reports from an earlier
     *     incarnation are ignored; 0 if unknown
     * @param report the report
     */
    public void recordReport(WireAddress address, long incarnation, LoadReport report) {
        upstreams.recordReport(address, incarnation, report).forEach(this::serveWaitingAt);
    }

    /**
     * Announces that the process is stopping: from now on, every response is the last one on its connection, and requests
     * that would not end in time are rejected.
     *
     * @param schedule the limits of the stop
     */
    public void announceStop(StopSchedule schedule) {
        stop = Optional.of(schedule);
    }

    boolean isStopping() {
        return stop.isPresent();
    }

    /** Whether a request may begin now; one that would be cut off by the end of the process may not. */
    boolean mayBegin(long deadlineNanos) {
        return stop.isEmpty() || stop.get().mayBegin(timers.nanoTime(), deadlineNanos);
    }

    /** Tells whether the configuration is the newest one that must be in force. */
    boolean isConfigurationConfirmed() {
        return factsAge()
                .filter(age -> age.compareTo(settings.confirmedFor()) <= 0)
                .isPresent();
    }

    /** Returns how old the facts may be, empty if that is not known. */
    Optional<Duration> factsAge() {
        return facts.confirmedAge();
    }

    Optional<Catalog> catalog() {
        return facts.catalog();
    }

    RequestTranslator translator() {
        return translator;
    }

    Timers timers() {
        return timers;
    }

    EventLog log() {
        return log;
    }

    /** Returns the budget for bytes that callers and upstreams have not read. */
    BufferBudget bufferBudget() {
        return bufferBudget;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    CrashLedger crashLedger() {
        return crashLedger;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    /** Records that an upstream said in a response that it leaves: it gets no further requests. */
    void recordLeaving(Upstream upstream) {
        facts.recordLeaving(new AgedIncarnation(upstream.incarnationKey(), Duration.ZERO), Source.RESPONSE);
    }

    /** Records whether a response of an upstream named a limit. */
    void recordLimit(Upstream upstream, OptionalDouble perSecond) {
        limits.recordResponse(upstream, perSecond);
    }

    /** Records that an upstream wants no requests from this node for a time. */
    void recordRetryAfter(PlacementCandidate candidate, Duration time) {
        if (time.isZero()) {
            return;
        }
        candidate.load().recordRetryAfter(time, randomFraction(), timers.nanoTime());
        metrics.retryAfter();
        log.event(EventLog.Category.BELIEF, "upstream_retry_after")
                .with("upstream", candidate.upstream().id())
                .with("service", candidate.upstream().service())
                .with("retry_after_ms", time.toMillis())
                .write();
    }

    /** Returns when the first upstream of a service wants requests again, if all have named a time for that. */
    OptionalLong returnNanos(String service) {
        return returnNanos(service, AllowedRegions.any());
    }

    /** Returns the same for the upstreams in some regions. */
    OptionalLong returnNanos(String service, AllowedRegions allowed) {
        return placement.returnNanos(upstreamsOf(service), allowed, timers.nanoTime());
    }

    /** Returns the limits of upstreams, towards which each request counts. */
    UpstreamLimits limits() {
        return limits;
    }

    /** Returns how a service treats prompts of different sizes. */
    PromptSizePolicy promptSizes(String service) {
        return promptSizes.of(service);
    }

    double randomFraction() {
        return random.nextDouble();
    }

    int nodes() {
        return Math.max(1, nodes.getAsInt());
    }

    ServiceQueue serviceQueue(String service) {
        return serviceQueues.computeIfAbsent(
                service,
                name -> new ServiceQueue(
                        new AdmissionQueue<>(WAITING_CAPACITY),
                        new PlacementRate(timers.nanoTime()),
                        ServiceRetryBudget.create(settings.retryBudget(), timers.nanoTime())));
    }

    Optional<UpstreamPool> pool(String upstreamId) {
        return upstreams.pool(upstreamId);
    }

    PlacementDecision choose(
            AdmittedRequest admitted, Optional<PromptShape> prompt, Set<String> excluded, boolean late) {
        return choose(admitted, upstreams.candidates(admitted.service()), prompt, excluded, late);
    }

    /** Chooses among some upstreams of the request's service. */
    PlacementDecision choose(
            AdmittedRequest admitted,
            List<PlacementCandidate> offered,
            Optional<PromptShape> prompt,
            Set<String> excluded,
            boolean late) {
        return placement.choose(
                upstreamsOf(admitted.service()),
                offered,
                placementRequest(admitted, prompt, excluded, late),
                timers.nanoTime());
    }

    /** Whether any upstream of a service can serve a request now or soon, whether or not it has a free slot. */
    boolean canServe(AdmittedRequest admitted, Optional<PromptShape> prompt, Set<String> excluded) {
        return placement.canServe(
                upstreamsOf(admitted.service()),
                placementRequest(admitted, prompt, excluded, false),
                timers.nanoTime());
    }

    private PlacementRequest placementRequest(
            AdmittedRequest admitted, Optional<PromptShape> prompt, Set<String> excluded, boolean late) {
        OptionalLong minimum =
                prompt.map(shape -> minimumVersion(shape.model())).orElse(OptionalLong.empty());
        return new PlacementRequest(prompt, excluded, minimum, late, admitted.allowedRegions());
    }

    /** Whether requests may be sent to an upstream: its failure domain is not evacuated. */
    boolean isAvailable(Upstream upstream) {
        return !facts.evacuatedDomains().contains(upstream.zone());
    }

    private ServiceUpstreams upstreamsOf(String service) {
        Optional<EngineProfile> engine = facts.catalog().flatMap(catalog -> catalog.engineProfile(service));
        return new ServiceUpstreams(upstreams.candidates(service), engine, promptSizes.of(service));
    }

    /** The newest version whose rollout time is nearly over; requests must not start on an older one. */
    OptionalLong minimumVersion(String model) {
        return facts.newestNamedBefore(model, settings.versionRollout().minus(PLACEMENT_MARGIN));
    }

    /** Returns the attempts that were sent to engines and have not begun. */
    UnstartedAttempts unstartedAttempts() {
        return unstartedAttempts;
    }

    /** Returns a candidate with what is known of its incarnation now. */
    PlacementCandidate current(PlacementCandidate placed) {
        return upstreams
                .candidate(placed.upstream().id())
                .filter(known -> known.upstream().isSameIncarnation(placed.upstream()))
                .orElse(placed);
    }

    private OptionalLong versionRequiredToBegin(String model) {
        return facts.newestSurelyNamedBefore(model, settings.versionRollout().minus(WITHDRAWAL_MARGIN));
    }

    /** Schedules a scan of the waiting requests, so that none waits past its maximum wait. */
    void scheduleQueueScan() {
        if (queueScanScheduled) {
            return;
        }
        queueScanScheduled = true;
        timers.schedule(QUEUE_SCAN_INTERVAL, this::scanQueues);
    }

    /** Offers the free slots of one upstream to the requests that wait for its service. */
    void serveWaitingAt(String upstreamId) {
        upstreams.candidate(upstreamId).ifPresent(this::serveWaitingAt);
    }

    private void serveWaitingAt(PlacementCandidate candidate) {
        serveWaiting(candidate.upstream().service(), List.of(candidate));
    }

    /** Offers all free slots to the waiting requests. */
    private void serveWaiting() {
        List.copyOf(serviceQueues.keySet()).forEach(service -> serveWaiting(service, upstreams.candidates(service)));
    }

    private void serveWaiting(String service, List<PlacementCandidate> offered) {
        ServiceQueue queue = serviceQueues.get(service);
        if (queue == null || queue.waiting().size() == 0) {
            return;
        }
        long now = timers.nanoTime();
        List<PlacementCandidate> free = placement.withFreeSlot(upstreamsOf(service), offered, now);
        if (!free.isEmpty()) {
            Set<String> regions = placement.regionsOf(free);
            queue.waiting().dispatch(now, request -> request.mayUse(regions), request -> request.tryPlaceWaiting(free));
        }
    }

    /** Requests do not wait where all upstreams that may serve them have left. */
    private void rejectWaitingWithoutUpstream() {
        for (String service : List.copyOf(serviceQueues.keySet())) {
            AdmissionQueue<ForwardedRequest> waiting =
                    serviceQueues.get(service).waiting();
            if (waiting.size() > 0) {
                Set<String> regions = regionsOfStaying(service);
                waiting.removeIf(request -> !request.mayUse(regions)).forEach(ForwardedRequest::upstreamsLeft);
            }
        }
    }

    private Set<String> regionsOfStaying(String service) {
        return placement.regionsOf(upstreams.candidates(service).stream()
                .filter(candidate -> !candidate.upstream().leaving())
                .toList());
    }

    /** Requests do not wait for upstreams in evacuated failure domains. */
    private void rejectWaitingForEvacuated() {
        if (facts.evacuatedDomains().isEmpty()) {
            return;
        }
        serviceQueues.values().stream()
                .flatMap(queue -> queue.waiting().items().stream())
                .toList()
                .forEach(ForwardedRequest::upstreamsEvacuated);
    }

    /** Removes the requests that have waited too long, or would have before any upstream wants requests again. */
    private void removeUnservable(String service, long nowNanos) {
        AdmissionQueue<ForwardedRequest> waiting = serviceQueues.get(service).waiting();
        if (waiting.size() > 0) {
            long servableFromNanos = returnNanos(service).orElse(nowNanos);
            waiting.removeExpired(servableFromNanos).forEach(ForwardedRequest::queueWaitExpired);
        }
    }

    private void scanQueues() {
        queueScanScheduled = false;
        long now = timers.nanoTime();
        serveWaiting();
        List.copyOf(serviceQueues.keySet()).forEach(service -> removeUnservable(service, now));
        if (serviceQueues.values().stream().anyMatch(queue -> queue.waiting().size() > 0)) {
            scheduleQueueScan();
        }
    }
}

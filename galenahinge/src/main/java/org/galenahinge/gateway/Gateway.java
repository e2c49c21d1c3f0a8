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
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.IntSupplier;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.AdmissionQueue;
import org.galenahinge.placement.Placement;
import org.galenahinge.placement.PlacementCandidate;
import org.galenahinge.placement.PlacementDecision;
import org.galenahinge.placement.PlacementRequest;
import org.galenahinge.placement.PromptShape;
import org.galenahinge.placement.ServiceRetryBudget;
import org.galenahinge.placement.UpstreamLoad.LoadReport;
import org.galenahinge.upstream.UpstreamPool;
import org.galenahinge.wire.WireAddress;

/** Forwards callers' requests: holds what its requests share. Belongs to one network thread. */
public final class Gateway {
    private static final int WAITING_CAPACITY = 256;
    private static final Duration SWEEP_EVERY = Duration.ofMillis(20);
    private static final Duration VERSION_MARGIN = Duration.ofMillis(1_500);

    private final GatewaySettings settings;
    private final FleetFacts facts;
    private final CallTranslator translator;
    private final Timers timers;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final IntSupplier nodes;
    private final Placement placement;
    private final Random random;
    private final UpstreamTable upstreams;
    private final Map<String, ServiceDesk> desks = new HashMap<>();
    private final Set<ForwardedCall> unconfigured = new LinkedHashSet<>();
    private boolean sweeping;
    private boolean stopping;

    private Gateway(
            GatewaySettings settings,
            EventLoop loop,
            FleetFacts facts,
            CallTranslator translator,
            Timers timers,
            EventLog log,
            MetricRegistry registry,
            IntSupplier nodes,
            long seed) {
        this.settings = settings;
        this.facts = facts;
        this.translator = translator;
        this.timers = timers;
        this.log = log;
        this.metrics = new GatewayMetrics(registry);
        this.nodes = nodes;
        this.placement = Placement.create(settings.zone(), nodes, seed);
        this.random = new Random(seed);
        this.upstreams = new UpstreamTable(loop, timers, registry.counter("upstream.connections.opened"));
        registry.gauge("upstream.known", () -> upstreams::size);
    }

    /**
     * Creates a gateway.
     *
     * @param settings what bounds it
     * @param loop the thread that it belongs to
     * @param facts what is known of the fleet
     * @param translator knows the names of headers
     * @param timers the clock
     * @param log where decisions are written
     * @param registry where they are counted
     * @param nodes how many nodes share the budgets
     * @param seed the seed of what is random
     * @return the gateway
     */
    public static Gateway create(
            GatewaySettings settings,
            EventLoop loop,
            FleetFacts facts,
            CallTranslator translator,
            Timers timers,
            EventLog log,
            MetricRegistry registry,
            IntSupplier nodes,
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
                seed);
    }

    /** Takes in that the facts have changed. */
    public void factsChanged() {
        upstreams.refresh(facts.upstreams());
        if (facts.catalog().isPresent()) {
            List<ForwardedCall> begun = List.copyOf(unconfigured);
            unconfigured.clear();
            begun.forEach(ForwardedCall::begin);
        }
        serveWaiting();
    }

    /** Keeps a request until the first configuration is known, which takes a moment after a start. */
    boolean awaitConfiguration(ForwardedCall call) {
        return unconfigured.size() < WAITING_CAPACITY && unconfigured.add(call);
    }

    void stopAwaiting(ForwardedCall call) {
        unconfigured.remove(call);
    }

    /**
     * Takes in what a slot process says of its upstream.
     *
     * @param address where the upstream listens
     * @param bornMillis when it started, so that word of an earlier life is left out; 0 where unknown
     * @param report what it says
     */
    public void reported(WireAddress address, long bornMillis, LoadReport report) {
        upstreams.reported(address, bornMillis, report);
        serveWaiting();
    }

    /** Says that the process is stopping: long answers are no longer begun near its end. */
    public void stop() {
        stopping = true;
    }

    boolean isStopping() {
        return stopping;
    }

    Optional<Catalog> catalog() {
        return facts.catalog();
    }

    CallTranslator translator() {
        return translator;
    }

    Timers timers() {
        return timers;
    }

    EventLog log() {
        return log;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    double draw() {
        return random.nextDouble();
    }

    int nodes() {
        return Math.max(1, nodes.getAsInt());
    }

    ServiceDesk desk(String service) {
        return desks.computeIfAbsent(
                service,
                name -> new ServiceDesk(
                        new AdmissionQueue<>(WAITING_CAPACITY),
                        ServiceRetryBudget.create(settings.repeats(), timers.nanoTime())));
    }

    Optional<UpstreamPool> pool(String upstreamId) {
        return upstreams.pool(upstreamId);
    }

    PlacementDecision choose(String service, Optional<PromptShape> prompt, Set<String> excluded, boolean late) {
        Optional<EngineProfile> engine = facts.catalog().flatMap(catalog -> catalog.engineProfile(service));
        OptionalLong least = prompt.map(shape -> leastVersion(shape.model())).orElse(OptionalLong.empty());
        List<PlacementCandidate> candidates = upstreams.candidates(service);
        return placement.choose(
                candidates, engine, new PlacementRequest(prompt, excluded, least, late), timers.nanoTime());
    }

    /** The version that requests must begin on, once the time for its spread is nearly over. */
    OptionalLong leastVersion(String model) {
        return facts.newestNamedBefore(model, settings.versionWithin().minus(VERSION_MARGIN));
    }

    /** Looks through the waiting requests soon, so that none waits past its time. */
    void sweepSoon() {
        if (sweeping) {
            return;
        }
        sweeping = true;
        timers.schedule(SWEEP_EVERY, this::sweep);
    }

    /** Offers free places to the waiting requests. */
    void serveWaiting() {
        long now = timers.nanoTime();
        desks.values().forEach(desk -> desk.waiting().dispatch(now, ForwardedCall::tryWaiting));
    }

    private void sweep() {
        sweeping = false;
        long now = timers.nanoTime();
        serveWaiting();
        for (ServiceDesk desk : desks.values()) {
            desk.waiting().removeExpired(now).forEach(ForwardedCall::waitedTooLong);
        }
        if (desks.values().stream().anyMatch(desk -> desk.waiting().size() > 0)) {
            sweepSoon();
        }
    }
}

package org.galenahinge.node;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.galenahinge.catalog.AllowedRegions;
import org.galenahinge.catalog.ColdStartBounds;
import org.galenahinge.catalog.WeightsOrigin;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.daemon.Incarnation;
import org.galenahinge.facts.FactCursor;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactLog;
import org.galenahinge.facts.FactSynchronizer;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.facts.StorePosition;
import org.galenahinge.gateway.CallerActivity;
import org.galenahinge.gateway.CallerServer;
import org.galenahinge.gateway.Gateway;
import org.galenahinge.gateway.GatewaySettings;
import org.galenahinge.gateway.StopSchedule;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.http.HttpServer;
import org.galenahinge.limit.NamedLimits;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.quarantine.CrashLedger;
import org.galenahinge.supply.WeightsCache;
import org.galenahinge.upstream.LeavingUpstreams;
import org.galenahinge.wire.DatagramNetwork;
import org.galenahinge.wire.EventLoopTimers;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/**
 * An entry: forwards callers' requests to upstreams, and serves callers the list of entries to use.
 *
 * <p>Everything runs on one network thread, since entries run on VMs with one processor.
 */
public final class EntryNode {
    private static final Duration STOP_CHECK_INTERVAL = Duration.ofMillis(50);
    private static final Duration TRAVEL_TIME = Duration.ofMillis(500);
    private static final Duration MAXIMUM_WAIT_FOR_FRESH_FACTS = Duration.ofSeconds(2);
    private static final Duration JOIN_CHECK_INTERVAL = Duration.ofMillis(50);

    private volatile NodeSettings settings;
    private final NetworkThreads threads;
    private final Timers timers;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final NodeAddress self;
    private final StoreDistances distances;
    private final EntryRoster roster;
    private final EntryMembership membership;
    private final EntryDirectory directory;
    private final FleetFacts facts;
    private final FactSynchronizer synchronizer;
    private final FactRelay relay;
    private final WeightsServer weightsServer;
    private final Gateway gateway;
    private final CrashLedger crashLedger;
    private final SettledPosition coldPosition;
    private final NamedLimits namedLimits;
    private final EntryGossip gossip;
    private DatagramNetwork gossipDatagrams;
    private CallerServer callerServer;
    private Optional<Long> configuredNanos = Optional.empty();
    private boolean stopping;
    private boolean requestsEnded;
    private volatile boolean ready;

    private EntryNode(
            NodeSettings settings,
            NodePlatform platform,
            NetworkThreads threads,
            EventLog log,
            MetricRegistry metrics) {
        EventLoop loop = threads.group().next();
        long seed = Incarnation.random();
        this.settings = settings;
        this.threads = threads;
        this.timers = EventLoopTimers.of(loop);
        this.log = log;
        this.metrics = metrics;
        this.self = addressOf(settings);
        this.distances = new StoreDistances();
        this.roster = new EntryRoster(settings.zone(), distances, seed);
        this.membership = new EntryMembership(self, settings.seeds(), roster, timers, log, this::rosterChanged, seed);
        this.directory = new EntryDirectory(settings::regionOf);
        this.facts = FleetFacts.create(platform.decoder(), timers, log);
        FactLog items = FactLog.create(seed);
        this.synchronizer = FactSynchronizer.create(
                platform.store(threads), factPeers(), items, this::itemsChanged, timers, log, seed);
        this.relay = new FactRelay(items, synchronizer, timers, this::addressesUp, distances, metrics);
        GatewaySettings gatewaySettings = new GatewaySettings(
                settings.zone(),
                settings.retryBudget(),
                settings.bounds().versionSwitchTimeout(),
                confirmedFor(settings.bounds().configurationApplyTime()),
                settings.coldStartBounds().orElse(ColdStartBounds.DEFAULT),
                settings::regionOf);
        this.crashLedger = CrashLedger.create(
                part -> roster.assigneeOf("trial/" + part).filter(self::equals).isPresent());
        this.coldPosition = new SettledPosition(roster, self, membership::isSettled, timers);
        this.namedLimits = NamedLimits.create(() -> roster.positionOf(self), coldPosition::get);
        this.gossip = new EntryGossip(
                self,
                roster,
                List.of(
                        new CrashGossip(crashLedger, log),
                        new LimitGossip(namedLimits),
                        new LeavingGossip(facts),
                        new VersionGossip(facts, settings.bounds().versionSwitchTimeout())),
                (to, bytes) -> gossipDatagrams.send(to, bytes),
                timers,
                seed);
        this.gateway = Gateway.create(
                gatewaySettings,
                loop,
                facts,
                platform.translator(),
                timers,
                log,
                metrics,
                membership::memberCount,
                crashLedger,
                namedLimits,
                seed);
        EntryWeightsSources weightsSources = new EntryWeightsSources(
                settings,
                roster,
                membership::isSettled,
                threads,
                this::origin,
                address -> platform.origin(threads, address),
                model -> facts.catalog()
                        .map(catalog -> catalog.weightsChunks(model))
                        .orElse(OptionalInt.empty()),
                seed);
        WeightsCache weightsCache = WeightsCache.create(weightsSources, timers, log, metrics);
        this.weightsServer = new WeightsServer(facts, weightsCache, timers, this::addressesUp);
        facts.onChange(this::factsChanged);
        facts.confirmedBy(synchronizer::confirmedAge);
        synchronizer.onStoreRecovered(facts::storeRecovered);
        synchronizer.onRefresh(relay::onRefresh);
    }

    private FactPeers factPeers() {
        return new FactPeers(
                self,
                () -> settings,
                roster,
                distances,
                () -> ready,
                address -> new PeerFactClient(threads, address, settings.zone(), distances, membership::addDiscovered),
                timers);
    }

    /**
     * Starts an entry.
     *
     * @param settings the settings
     * @param platform the adapters to the platform
     * @param threads one network thread, which also serves the other listeners of the process
     * @param log the log of events
     * @param metrics the registry of metrics
     * @return the running entry
     * @throws IOException when a port is in use
     */
    public static EntryNode start(
            NodeSettings settings, NodePlatform platform, NetworkThreads threads, EventLog log, MetricRegistry metrics)
            throws IOException {
        Objects.requireNonNull(settings, "settings");
        EntryNode node = new EntryNode(settings, platform, threads, log, metrics);
        node.listen();
        threads.group().next().execute(node::startReading);
        return node;
    }

    /**
     * Tells whether callers may use this entry.
     *
     * @return whether the configuration is known and the entry is not stopping
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Returns the entries that a caller should use: those of its failure domain, or all when there are fewer than two. If a
     * route of the host has allowed regions, only entries in the caller's region or in these, unless none is up there. Must
     * be called on the network thread of this entry.
     *
     * @param host the host that the caller sends requests to; may be empty
     * @param region the caller's region; if empty, that of its failure domain
     * @param zone the caller's failure domain; may be empty
     * @param maximum the maximum number of entries
     * @return their addresses for callers
     */
    public List<WireAddress> entriesFor(String host, String region, String zone, int maximum) {
        AllowedRegions ofHost = facts.catalog()
                .map(catalog -> catalog.routes().allowedRegions(host))
                .orElse(AllowedRegions.any());
        EntryDirectory.Query query = new EntryDirectory.Query(region, zone, maximum);
        return directory.choose(membership.confirmedUp(), query, ofHost).stream()
                .map(NodeAddress::callers)
                .toList();
    }

    /**
     * Returns how long callers may cache the addresses that {@link #entriesFor} returns.
     *
     * @return the maximum time
     */
    public Duration addressCacheTime() {
        return settings.bounds().addressCacheTime();
    }

    /**
     * Applies changed settings: the seeds, the time to stop and the cache time of addresses. The adapters to the platform apply
     * theirs themselves. Changes of other settings, such as the listening addresses, apply after a restart.
     *
     * @param changed the new settings
     */
    public void reload(NodeSettings changed) {
        threads.group().next().execute(() -> {
            settings = changed;
            membership.setSeeds(changed.seeds());
            log.event(Category.LIFECYCLE, "settings_reloaded")
                    .with("seeds", changed.seeds().size())
                    .with("stop_within_ms", changed.bounds().stopTimeout().toMillis())
                    .write();
        });
    }

    /**
     * Stops gracefully: announces the stop to callers and nodes, then lets running requests finish.
     *
     * @param signalNanos when the signal to stop was received, in nanoseconds of {@link System#nanoTime()}; the time to
     *     stop counts from it
     * @return completed when no request is running, or when the time to stop has passed
     */
    public CompletionStage<Void> stop(long signalNanos) {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        threads.group().next().execute(() -> beginStop(signalNanos, stopped));
        return stopped;
    }

    /** What travelled to this entry may have been known for a little longer than its age says. */
    private static Duration confirmedFor(Duration applyTime) {
        Duration confirmed = applyTime.minus(TRAVEL_TIME);
        return confirmed.isNegative() ? Duration.ZERO : confirmed;
    }

    private static NodeAddress addressOf(NodeSettings settings) {
        return new NodeAddress(
                settings.name(),
                settings.zone(),
                settings.address(),
                settings.callerAddress().orElseThrow().port(),
                settings.peerAddress().orElseThrow().port(),
                settings.membershipPort());
    }

    private void listen() throws IOException {
        callerServer =
                CallerServer.listen(gateway, threads, settings.callerAddress().orElseThrow());
        HttpServer.serve(threads, settings.peerAddress().orElseThrow(), this::handleNodeRequest);
        membership.listen(threads, new WireAddress(settings.address(), settings.membershipPort()), metrics);
        gossipDatagrams = DatagramNetwork.listen(threads, self.gossip(), metrics, GossipCodec::decode, gossip::receive);
        DatagramNetwork.listen(
                threads,
                new WireAddress(settings.address(), settings.loadPort()),
                metrics,
                LoadCodec::decode,
                this::loadReported);
        HttpServer.serve(
                threads,
                new WireAddress(settings.address(), settings.metricsPort()),
                (uri, reply) -> reply.accept(MetricsText.of(metrics)));
        metrics.gauge("crashes.known", () -> crashLedger::size);
        metrics.gauge("limits.known", () -> namedLimits::size);
        for (LeavingUpstreams.Source source : LeavingUpstreams.Source.values()) {
            String name = source.name().toLowerCase(Locale.ROOT);
            metrics.gauge("upstreams.leaving." + name, () -> () -> facts.leavingCount(source));
        }
        metrics.gauge(
                "domains.evacuated",
                () -> () -> facts.evacuatedDomains().zones().size());
        metrics.gauge("callers.connections", () -> callerServer::connections);
        metrics.gauge("callers.unread.bytes", () -> callerServer::unreadBytes);
        metrics.gauge("facts.age.millis", () -> () -> synchronizer.age().toMillis());
        metrics.gauge(
                "config.version",
                () -> () -> facts.catalog().map(known -> known.version()).orElse(0L));
    }

    private void startReading() {
        log.event(Category.LIFECYCLE, "started").with("role", "entry").write();
        synchronizer.start();
        joinWhenReady();
    }

    private void joinWhenReady() {
        if (stopping) {
            return;
        }
        if (!mayJoin()) {
            timers.schedule(JOIN_CHECK_INTERVAL, this::joinWhenReady);
            return;
        }
        membership.join();
        gossip.start();
        ready = true;
        log.event(Category.LIFECYCLE, "ready")
                .with("config", facts.catalog().get().version())
                .with("facts_age_ms", synchronizer.age().toMillis())
                .write();
    }

    /**
     * Tells whether this entry may take callers: it knows the newest configuration, or one that nobody who responds can tell to
     * be the newest.
     */
    private boolean mayJoin() {
        if (facts.catalog().isEmpty()) {
            return false;
        }
        if (configuredNanos.isEmpty()) {
            configuredNanos = Optional.of(timers.nanoTime());
        }
        Duration waited = Duration.ofNanos(timers.nanoTime() - configuredNanos.get());
        return !synchronizer.isStale() || waited.compareTo(MAXIMUM_WAIT_FOR_FRESH_FACTS) > 0;
    }

    private void beginStop(long signalNanos, CompletableFuture<Void> stopped) {
        stopping = true;
        ready = false;
        StopSchedule schedule =
                StopSchedule.beginningAt(signalNanos, settings.bounds().stopTimeout());
        gateway.announceStop(schedule);
        timers.schedule(timeUntil(schedule.lastArrivalNanos()), () -> checkStop(schedule, stopped));
        timers.schedule(timeUntil(schedule.exitNanos()), () -> exit(stopped));
        logStop("stopping");
        membership.leave();
    }

    private Duration timeUntil(long nanos) {
        return Duration.ofNanos(nanos - timers.nanoTime());
    }

    /** Waits for requests until the end of the stop, and then for callers that read slowly as long as the process may. */
    private void checkStop(StopSchedule schedule, CompletableFuture<Void> stopped) {
        if (stopped.isDone()) {
            return;
        }
        // Scheduled first, so that an error in one check does not prevent the next.
        timers.schedule(STOP_CHECK_INTERVAL, () -> checkStop(schedule, stopped));
        callerServer.closeIdle();
        boolean isOver = callerServer.connections() == 0;
        if (isOver || timers.nanoTime() - schedule.endNanos() >= 0) {
            endRequests();
        }
        if (isOver) {
            exit(stopped);
        }
    }

    /** Ends the requests that are left, also those that callers complete only now. */
    private void endRequests() {
        if (!requestsEnded) {
            requestsEnded = true;
            logStop("stopped");
        }
        callerServer.endRequests();
    }

    private void exit(CompletableFuture<Void> stopped) {
        if (stopped.isDone()) {
            return;
        }
        try {
            logStop("exiting");
            callerServer.breakOffResponses();
        } finally {
            stopped.complete(null);
        }
    }

    private void logStop(String event) {
        CallerActivity activity = callerServer.activity();
        log.event(Category.LIFECYCLE, event)
                .with("busy", activity.busy())
                .with("waiting", activity.waiting())
                .with("reading", activity.reading())
                .with("running", activity.running())
                .with("writing", activity.writing())
                .with("lingering", activity.lingering())
                .write();
    }

    private void loadReported(LoadCodec.UpstreamReport load) {
        load.namedVersions().forEach(facts::versionAgeTold);
        gateway.recordReport(load.address(), load.incarnationMillis(), load.report());
    }

    private void itemsChanged(List<FactItem> items, Duration maximumAge) {
        facts.apply(items, maximumAge);
    }

    private Optional<WeightsOrigin> origin() {
        return facts.catalog().flatMap(catalog -> catalog.origins().stream().findFirst());
    }

    private void factsChanged() {
        gateway.factsChanged();
        weightsServer.factsChanged();
    }

    private void rosterChanged() {
        coldPosition.rosterChanged();
        log.event(Category.BELIEF, "entries_up")
                .with("count", roster.up().size())
                .write();
    }

    private List<String> addressesUp() {
        return roster.up().stream().map(NodeAddress::text).toList();
    }

    private void handleNodeRequest(String uri, Consumer<HttpDocument> reply) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        if (query.path().equals("/facts")) {
            distanceTold(query);
            relay.read(
                    new FactRelay.ReadRequest(readerOf(query), Duration.ofMillis(NodeQuery.number(query, "wait"))),
                    reply);
            return;
        }
        if (query.path().equals("/members")) {
            String addresses = membership.handleDiscovery(NodeQuery.text(query, "card"));
            reply.accept(HttpDocument.text(200, "text/plain", addresses));
            return;
        }
        if (!weightsServer.handle(query, reply)) {
            reply.accept(HttpServer.notFound());
        }
    }

    private void distanceTold(QueryStringDecoder query) {
        String zone = NodeQuery.text(query, "zone");
        if (!zone.isEmpty()) {
            distances.told(Map.of(zone, NodeQuery.number(query, "distance")));
        }
    }

    private static FactCursor readerOf(QueryStringDecoder query) {
        StorePosition position = new StorePosition(NodeQuery.number(query, "epoch"), NodeQuery.number(query, "after"));
        return new FactCursor(position, NodeQuery.number(query, "log"), NodeQuery.number(query, "sequence"));
    }
}

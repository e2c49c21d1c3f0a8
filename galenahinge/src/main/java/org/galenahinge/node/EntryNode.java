package org.galenahinge.node;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.galenahinge.catalog.WeightsOrigin;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.daemon.Incarnation;
import org.galenahinge.facts.FactItem;
import org.galenahinge.facts.FactLog;
import org.galenahinge.facts.FactSource;
import org.galenahinge.facts.FactSynchronizer;
import org.galenahinge.facts.FleetFacts;
import org.galenahinge.gateway.CallerServer;
import org.galenahinge.gateway.Gateway;
import org.galenahinge.gateway.GatewaySettings;
import org.galenahinge.http.HttpDocument;
import org.galenahinge.http.HttpServer;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.supply.WeightsCache;
import org.galenahinge.wire.DatagramNetwork;
import org.galenahinge.wire.LoopTimers;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/**
 * An entry: takes callers' requests, forwards them, and tells callers which entries to use.
 *
 * <p>All of it runs on one network thread, since the VMs that it is made for have one processor.
 */
public final class EntryNode {
    private static final Duration CLOSE_IDLE_AFTER = Duration.ofMillis(2_500);
    private static final Duration STOP_MARGIN = Duration.ofMillis(1_200);
    private static final Duration STOP_CHECK = Duration.ofMillis(50);
    private static final Duration JOIN_CHECK = Duration.ofMillis(50);

    private volatile NodeSettings settings;
    private final NetworkThreads threads;
    private final Timers timers;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final NodeCard self;
    private final EntryRoster roster;
    private final EntryMembership membership;
    private final FleetFacts facts;
    private final FactSynchronizer follower;
    private final FactRelay relay;
    private final WeightsDesk weights;
    private final Gateway gateway;
    private CallerServer door;
    private long stopNanos;
    private boolean stopping;
    private volatile boolean ready;

    private EntryNode(
            NodeSettings settings,
            NodePlatform platform,
            NetworkThreads threads,
            EventLog log,
            MetricRegistry metrics) {
        EventLoop loop = threads.group().next();
        long seed = Incarnation.draw();
        this.settings = settings;
        this.threads = threads;
        this.timers = LoopTimers.of(loop);
        this.log = log;
        this.metrics = metrics;
        this.self = cardOf(settings);
        this.roster = new EntryRoster(settings.zone(), seed);
        this.membership = new EntryMembership(self, settings.seeds(), roster, timers, log, this::rosterChanged, seed);
        this.facts = FleetFacts.create(platform.decoder(), timers, log);
        FactLog items = new FactLog();
        this.follower = FactSynchronizer.create(
                platform.store(threads), new EntryPeers(), items, this::itemsChanged, timers, log, seed);
        this.relay = new FactRelay(items, follower, timers, this::cardsUp);
        GatewaySettings bounds = new GatewaySettings(
                settings.zone(), settings.repeats(), settings.bounds().versionWithin());
        this.gateway = Gateway.create(
                bounds, loop, facts, platform.translator(), timers, log, metrics, membership::known, seed);
        WeightsRoutes routes = new WeightsRoutes(
                settings,
                roster,
                membership::isSettled,
                threads,
                this::origin,
                address -> platform.origin(threads, address),
                seed);
        WeightsCache library = WeightsCache.create(routes, timers, log, metrics);
        this.weights = new WeightsDesk(facts, library, timers, this::cardsUp);
        facts.onChange(this::factsChanged);
        follower.onStoreRecovered(facts::storeRecovered);
        follower.onRefresh(relay::refreshed);
    }

    /**
     * Starts an entry.
     *
     * @param settings what it is told
     * @param platform the platform that it runs on
     * @param threads one network thread, which also serves whatever else listens on this VM
     * @param log where decisions are written
     * @param metrics where they are counted
     * @return the running entry
     * @throws IOException when a port is in use
     */
    public static EntryNode start(
            NodeSettings settings, NodePlatform platform, NetworkThreads threads, EventLog log, MetricRegistry metrics)
            throws IOException {
        Objects.requireNonNull(settings, "settings");
        EntryNode node = new EntryNode(settings, platform, threads, log, metrics);
        node.listen();
        threads.group().next().execute(node::begin);
        return node;
    }

    /**
     * Tells whether callers may be sent here.
     *
     * @return whether this entry is configured and stays
     */
    public boolean isReady() {
        return ready;
    }

    /**
     * Names the entries that a caller should use, nearest first.
     *
     * @param zone the caller's failure domain
     * @param most the most entries named
     * @return where callers connect
     */
    public List<WireAddress> entriesFor(String zone, int most) {
        List<NodeCard> near = roster.inZone(zone);
        List<NodeCard> chosen = near.size() >= 2 ? near : roster.up();
        return chosen.stream().limit(most).map(NodeCard::callers).toList();
    }

    /**
     * Returns how long callers may keep what {@link #entriesFor} named.
     *
     * @return the time
     */
    public Duration addressesKept() {
        return settings.bounds().addressesKept();
    }

    /**
     * Takes in changed settings: seeds, the times for stopping and for keeping addresses. Where it listens stays as it
     * is until the next start.
     *
     * @param changed the new settings
     */
    public void reload(NodeSettings changed) {
        threads.group().next().execute(() -> {
            settings = changed;
            membership.reseed(changed.seeds());
            log.event(Category.LIFECYCLE, "settings_reloaded")
                    .with("seeds", changed.seeds().size())
                    .with("stop_within_ms", changed.bounds().stopWithin().toMillis())
                    .write();
        });
    }

    /**
     * Stops gracefully: says so to callers and nodes, ends what is under way, then ends.
     *
     * @return done when nothing is under way, or the time for it is over
     */
    public CompletionStage<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        threads.group().next().execute(() -> beginStop(stopped));
        return stopped;
    }

    private static NodeCard cardOf(NodeSettings settings) {
        return new NodeCard(
                settings.name(),
                settings.zone(),
                settings.address(),
                settings.callers().orElseThrow().port(),
                settings.nodesListen().orElseThrow().port(),
                settings.membershipPort());
    }

    private void listen() throws IOException {
        door = CallerServer.listen(gateway, threads, settings.callers().orElseThrow());
        HttpServer.serve(threads, settings.nodesListen().orElseThrow(), this::answerNode);
        membership.listen(threads, new WireAddress(settings.address(), settings.membershipPort()), metrics);
        DatagramNetwork.listen(
                threads,
                new WireAddress(settings.address(), settings.loadPort()),
                metrics,
                LoadCodec::read,
                load -> gateway.recordReport(load.address(), load.bornMillis(), load.report()));
        HttpServer.serve(
                threads,
                new WireAddress(settings.address(), settings.metricsPort()),
                (uri, reply) -> reply.accept(MetricsText.of(metrics)));
        metrics.gauge("callers.connections", () -> door::connections);
        metrics.gauge("facts.age.millis", () -> () -> follower.age().toMillis());
        metrics.gauge(
                "config.version",
                () -> () -> facts.catalog().map(known -> known.version()).orElse(0L));
    }

    private void begin() {
        log.event(Category.LIFECYCLE, "started").with("role", "entry").write();
        follower.start();
        joinWhenReady();
    }

    private void joinWhenReady() {
        if (stopping) {
            return;
        }
        if (facts.catalog().isEmpty()) {
            timers.schedule(JOIN_CHECK, this::joinWhenReady);
            return;
        }
        membership.join();
        ready = true;
        log.event(Category.LIFECYCLE, "ready")
                .with("config", facts.catalog().get().version())
                .write();
    }

    private void beginStop(CompletableFuture<Void> stopped) {
        stopping = true;
        ready = false;
        stopNanos = timers.nanoTime()
                + settings.bounds().stopWithin().minus(STOP_MARGIN).toNanos();
        log.event(Category.LIFECYCLE, "stopping")
                .with("busy", door.activeRequests())
                .write();
        membership.leave();
        gateway.announceStop();
        timers.schedule(CLOSE_IDLE_AFTER, () -> endWhenIdle(stopped));
    }

    private void endWhenIdle(CompletableFuture<Void> stopped) {
        door.closeIdle();
        if (door.activeRequests() == 0 || timers.nanoTime() - stopNanos >= 0) {
            log.event(Category.LIFECYCLE, "stopped")
                    .with("busy", door.activeRequests())
                    .write();
            stopped.complete(null);
            return;
        }
        timers.schedule(STOP_CHECK, () -> endWhenIdle(stopped));
    }

    private void itemsChanged(List<FactItem> items, Duration olderBy) {
        facts.apply(items, olderBy);
    }

    private Optional<WeightsOrigin> origin() {
        return facts.catalog().flatMap(catalog -> catalog.origins().stream().findFirst());
    }

    private void factsChanged() {
        gateway.factsChanged();
        weights.factsChanged();
    }

    private void rosterChanged() {
        log.event(Category.BELIEF, "entries_up")
                .with("count", roster.up().size())
                .write();
    }

    private List<String> cardsUp() {
        return roster.up().stream().map(NodeCard::text).toList();
    }

    private void answerNode(String uri, Consumer<HttpDocument> reply) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        if (query.path().equals("/facts")) {
            relay.ask(
                    new FactRelay.Ask(
                            NodeQuery.number(query, "after"),
                            Duration.ofMillis(NodeQuery.number(query, "wait")),
                            NodeQuery.flag(query, "packed")),
                    reply);
            return;
        }
        if (query.path().equals("/members")) {
            String cards = membership.answerDiscovery(NodeQuery.text(query, "card"));
            reply.accept(HttpDocument.text(200, "text/plain", cards));
            return;
        }
        if (!weights.answer(query, reply)) {
            reply.accept(HttpServer.notFound());
        }
    }

    private final class EntryPeers implements FactSynchronizer.Peers {
        @Override
        public boolean isWatcher() {
            return ready && roster.watcher().filter(card -> card.equals(self)).isPresent();
        }

        @Override
        public boolean isRelay() {
            return ready && roster.isSource(self.name());
        }

        @Override
        public Optional<FactSource> peer(int failures) {
            return PeerChoice.choose(settings, roster, failures)
                    .map(peer -> new PeerFacts(threads, peer.address(), peer.far(), membership::introduced));
        }
    }
}

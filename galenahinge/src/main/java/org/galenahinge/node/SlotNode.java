package org.galenahinge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.daemon.Incarnation;
import org.galenahinge.http.HttpServer;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.EngineControl.EngineReport;
import org.galenahinge.supply.EngineWeightsController;
import org.galenahinge.supply.WeightsSource;
import org.galenahinge.wire.DatagramNetwork;
import org.galenahinge.wire.LoopTimers;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/**
 * A slot process: keeps the engine on its VM at the weights that it is to hold, and tells the entries what it does.
 *
 * <p>It reads nothing from the store: the entries say what is wanted.
 */
public final class SlotNode {
    private static final Duration REPORT_EVERY = Duration.ofMillis(100);
    private static final Duration ASK_WAIT = Duration.ofMillis(700);
    private static final Duration ASK_RETRY = Duration.ofMillis(200);

    private volatile NodeSettings settings;
    private final String service;
    private final NetworkThreads threads;
    private final Timers timers;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final EntryRoster roster;
    private final EngineControl engine;
    private final EngineWeightsController keeper;
    private final WireAddress upstream;
    private final LoadAnnouncer announcer;
    private DatagramNetwork datagrams;
    private int askFailures;
    private boolean engineLost;
    private String engineFault = "";
    private boolean stopping;

    private SlotNode(
            NodeSettings settings,
            String service,
            NodePlatform platform,
            NetworkThreads threads,
            EventLog log,
            MetricRegistry metrics) {
        long seed = Incarnation.draw();
        this.settings = settings;
        this.service = service;
        this.threads = threads;
        this.timers = LoopTimers.of(threads.group().next());
        this.log = log;
        this.metrics = metrics;
        this.roster = new EntryRoster(settings.zone(), seed);
        this.upstream = settings.upstream().orElseThrow();
        this.engine = platform.engine(threads, upstream);
        this.keeper = EngineWeightsController.create(
                engine, this::source, settings.bounds().versionWithin(), timers, log, metrics);
        this.announcer = LoadAnnouncer.create(settings.zone(), upstream, roster, keeper, this::send, timers);
        keeper.onBeforeLoad(announcer::tellAll);
    }

    /**
     * Starts a slot process.
     *
     * @param settings what it is told; the upstream must be named
     * @param service the service that its upstream belongs to
     * @param platform the platform that it runs on
     * @param threads one network thread
     * @param log where decisions are written
     * @param metrics where they are counted
     * @return the running process
     * @throws IOException when a port is in use
     */
    public static SlotNode start(
            NodeSettings settings,
            String service,
            NodePlatform platform,
            NetworkThreads threads,
            EventLog log,
            MetricRegistry metrics)
            throws IOException {
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(service, "service");
        SlotNode node = new SlotNode(settings, service, platform, threads, log, metrics);
        node.listen();
        threads.group().next().execute(node::begin);
        return node;
    }

    /**
     * Takes in changed settings: the seeds. Where it listens stays as it is until the next start.
     *
     * @param changed the new settings
     */
    public void reload(NodeSettings changed) {
        threads.group().next().execute(() -> {
            settings = changed;
            log.event(Category.LIFECYCLE, "settings_reloaded")
                    .with("seeds", changed.seeds().size())
                    .write();
        });
    }

    /**
     * Stops: nothing of it is under way that others wait for.
     *
     * @return done when it has stopped
     */
    public CompletionStage<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        threads.group().next().execute(() -> {
            stopping = true;
            log.event(Category.LIFECYCLE, "stopped").write();
            stopped.complete(null);
        });
        return stopped;
    }

    private void listen() throws IOException {
        HttpServer.serve(
                threads,
                new WireAddress(settings.address(), settings.metricsPort()),
                (uri, reply) -> reply.accept(MetricsText.of(metrics)));
        datagrams = DatagramNetwork.listen(
                threads,
                new WireAddress(settings.address(), settings.loadPort()),
                metrics,
                LoadCodec::read,
                ignored -> metrics.counter("load.unexpected").inc());
    }

    private void begin() {
        log.event(Category.LIFECYCLE, "started").with("role", "slot").write();
        pollEngine();
        askEntry();
    }

    private void pollEngine() {
        if (stopping) {
            return;
        }
        long startedNanos = timers.nanoTime();
        engine.report().whenComplete((report, error) -> {
            if (error == null) {
                engineAnswered(report);
            } else {
                engineFailed(error);
            }
            Duration took = Duration.ofNanos(timers.nanoTime() - startedNanos);
            Duration pause = REPORT_EVERY.minus(took);
            timers.schedule(pause.isNegative() ? Duration.ZERO : pause, this::pollEngine);
        });
    }

    private void engineAnswered(EngineReport report) {
        if (engineLost) {
            engineLost = false;
            log.event(Category.LIFECYCLE, "engine_regained").write();
        }
        keeper.onReport(report);
        announcer.reported(report);
    }

    private void engineFailed(Throwable error) {
        String detail = String.valueOf(error.getMessage());
        if (engineLost && detail.equals(engineFault)) {
            return;
        }
        engineLost = true;
        engineFault = detail;
        log.event(Category.LIFECYCLE, "engine_lost").with("detail", detail).write();
    }

    private void send(NodeCard entry, byte[] datagram) {
        datagrams.send(new WireAddress(entry.address(), settings.loadPort()), datagram);
    }

    private void askEntry() {
        if (stopping) {
            return;
        }
        Optional<WireAddress> entry = entry(askFailures);
        if (entry.isEmpty()) {
            timers.schedule(ASK_RETRY, this::askEntry);
            return;
        }
        new EntryWeights(threads, entry.get())
                .wanted(service, upstream, keeper.targetVersion(), ASK_WAIT)
                .whenComplete((heard, error) -> {
                    if (error == null) {
                        heard(heard);
                        askEntry();
                        return;
                    }
                    askFailures++;
                    log.event(Category.LIFECYCLE, "entry_failed")
                            .with("entry", entry.get().toString())
                            .with("failures", askFailures)
                            .with("detail", String.valueOf(error.getMessage()))
                            .write();
                    timers.schedule(ASK_RETRY, this::askEntry);
                });
    }

    private void heard(EntryWeights.Heard heard) {
        askFailures = 0;
        List<NodeCard> cards = new ArrayList<>();
        heard.nodes().forEach(text -> NodeCard.parse(text).ifPresent(cards::add));
        if (!cards.isEmpty()) {
            roster.update(cards);
        }
        heard.digests().ifPresent(digests -> keeper.setTarget(digests, heard.age(), heard.plan()));
    }

    /** The nearest entry, another one after each failure; the seeds while none is known or none answers. */
    private Optional<WireAddress> entry(int failures) {
        List<NodeCard> near = roster.nearestFirst();
        boolean trySeeds = near.isEmpty() || failures > near.size();
        if (trySeeds && !settings.seeds().isEmpty()) {
            return Optional.of(settings.seeds().get(failures % settings.seeds().size()));
        }
        return near.isEmpty()
                ? Optional.empty()
                : Optional.of(near.get(failures % near.size()).nodes());
    }

    private Optional<WeightsSource> source(int failures) {
        return entry(failures).map(address -> new EntryWeights(threads, address));
    }
}

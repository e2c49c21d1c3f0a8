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
import org.galenahinge.wire.EventLoopTimers;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/**
 * A slot process: loads the required weights into the engine on its VM, and sends the engine's load reports to the
 * entries.
 *
 * <p>It does not read the store: the entries tell it which weights to load.
 */
public final class SlotNode {
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

    /** The interval while the engine has no requests, so that most of its slots are free anyway. */
    private static final Duration IDLE_REPORT_INTERVAL = Duration.ofMillis(250);

    private static final Duration ENTRY_WAIT = Duration.ofMillis(700);
    private static final Duration ENTRY_RETRY_DELAY = Duration.ofMillis(200);

    private volatile NodeSettings settings;
    private final String service;
    private final NetworkThreads threads;
    private final Timers timers;
    private final EventLog log;
    private final MetricRegistry metrics;
    private final EntryRoster roster;
    private final EngineControl engine;
    private final EngineWeightsController weightsController;
    private final WireAddress upstream;
    private final LoadAnnouncer announcer;
    private DatagramNetwork datagrams;
    private int entryFailures;
    private boolean engineLost;
    private String lastEngineError = "";
    private boolean engineIdle;
    private boolean stopping;

    private SlotNode(
            NodeSettings settings,
            String service,
            NodePlatform platform,
            NetworkThreads threads,
            EventLog log,
            MetricRegistry metrics) {
        long seed = Incarnation.random();
        this.settings = settings;
        this.service = service;
        this.threads = threads;
        this.timers = EventLoopTimers.of(threads.group().next());
        this.log = log;
        this.metrics = metrics;
        this.roster = new EntryRoster(settings.zone(), seed);
        this.upstream = settings.upstream().orElseThrow();
        this.engine = platform.engine(threads, upstream);
        this.weightsController = EngineWeightsController.create(
                engine, this::weightsSource, settings.bounds().versionSwitchTimeout(), timers, log, metrics);
        this.announcer = LoadAnnouncer.create(settings.zone(), upstream, roster, weightsController, this::send, timers);
        weightsController.onBeforeLoad(announcer::announceToAll);
    }

    /**
     * Starts a slot process.
     *
     * @param settings the settings, which must contain an upstream
     * @param service the service of the upstream
     * @param platform the adapters to the platform
     * @param threads one network thread
     * @param log the log of events
     * @param metrics the registry of metrics
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
        threads.group().next().execute(node::startPolling);
        return node;
    }

    /**
     * Applies changed seeds. Changes of other settings, such as the listening addresses, apply after a restart.
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
     * Stops polling the engine and the entries. No other node waits for this one, so nothing has to finish first.
     *
     * @return completed when it has stopped
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
                LoadCodec::decode,
                ignored -> metrics.counter("load.unexpected").inc());
    }

    private void startPolling() {
        log.event(Category.LIFECYCLE, "started").with("role", "slot").write();
        pollEngine();
        pollEntry();
    }

    private void pollEngine() {
        if (stopping) {
            return;
        }
        long startedNanos = timers.nanoTime();
        engine.report().thenAccept(this::handleEngineReport).whenComplete((handled, error) -> {
            if (error != null) {
                handleEngineFailure(error);
            }
            Duration elapsed = Duration.ofNanos(timers.nanoTime() - startedNanos);
            Duration pause = (engineIdle ? IDLE_REPORT_INTERVAL : REPORT_INTERVAL).minus(elapsed);
            timers.schedule(pause.isNegative() ? Duration.ZERO : pause, this::pollEngine);
        });
    }

    private void handleEngineReport(EngineReport report) {
        if (engineLost) {
            engineLost = false;
            log.event(Category.LIFECYCLE, "engine_regained").write();
        }
        weightsController.onReport(report);
        engineIdle = report.running() + report.waiting() == 0 && !weightsController.isLoading();
        announcer.announce(report);
    }

    private void handleEngineFailure(Throwable error) {
        String detail = String.valueOf(error.getMessage());
        if (engineLost && detail.equals(lastEngineError)) {
            return;
        }
        engineLost = true;
        lastEngineError = detail;
        log.event(Category.LIFECYCLE, "engine_lost").with("detail", detail).write();
    }

    private void send(NodeAddress entry, byte[] datagram) {
        datagrams.send(new WireAddress(entry.address(), settings.loadPort()), datagram);
    }

    private void pollEntry() {
        if (stopping) {
            return;
        }
        Optional<WireAddress> entry = selectEntry(entryFailures);
        if (entry.isEmpty()) {
            timers.schedule(ENTRY_RETRY_DELAY, this::pollEntry);
            return;
        }
        new EntryWeightsClient(threads, entry.get())
                .serviceWeights(service, upstream, weightsController.targetVersion(), ENTRY_WAIT)
                .thenAccept(this::handleServiceWeights)
                .whenComplete((handled, error) -> {
                    if (error == null) {
                        pollEntry();
                        return;
                    }
                    entryFailures++;
                    log.event(Category.LIFECYCLE, "entry_failed")
                            .with("entry", entry.get().toString())
                            .with("failures", entryFailures)
                            .with("detail", String.valueOf(error.getMessage()))
                            .write();
                    timers.schedule(ENTRY_RETRY_DELAY, this::pollEntry);
                });
    }

    private void handleServiceWeights(EntryWeightsClient.ServiceWeights response) {
        entryFailures = 0;
        List<NodeAddress> entries = new ArrayList<>();
        response.nodes().forEach(text -> NodeAddress.parse(text).ifPresent(entries::add));
        if (!entries.isEmpty()) {
            roster.update(entries);
        }
        response.digests()
                .ifPresentOrElse(
                        digests -> weightsController.setTarget(digests, response.plan()),
                        () -> weightsController.updateSchedule(response.plan()));
    }

    /**
     * Selects a known entry, one of this failure domain first and another one after each failure. Selects a seed while
     * no entry is known, or once there were more consecutive failures than known entries.
     */
    private Optional<WireAddress> selectEntry(int failures) {
        List<NodeAddress> known = roster.nearestFirst();
        boolean useSeeds = known.isEmpty() || failures > known.size();
        if (useSeeds && !settings.seeds().isEmpty()) {
            return Optional.of(settings.seeds().get(failures % settings.seeds().size()));
        }
        return known.isEmpty()
                ? Optional.empty()
                : Optional.of(known.get(failures % known.size()).nodes());
    }

    private Optional<WeightsSource> weightsSource(int failures) {
        return selectEntry(failures).map(address -> new EntryWeightsClient(threads, address));
    }
}

package org.galenahinge.slot;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.daemon.Incarnation;
import org.galenahinge.daemon.MetricsHttp;
import org.galenahinge.engine.EngineClient;
import org.galenahinge.http.HttpServer;
import org.galenahinge.idempotency.PermitTable;
import org.galenahinge.limit.Admission;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.membership.Vm;
import org.galenahinge.reader.HttpReader;
import org.galenahinge.reader.WeightsSourceClient;
import org.galenahinge.settings.SlotSettings;
import org.galenahinge.settings.SlotSettings.UpstreamKind;
import org.galenahinge.ticket.TicketGroup.ServiceWorkload;
import org.galenahinge.weights.ChunkCache;
import org.galenahinge.weights.PullLimits;
import org.galenahinge.wire.ConnectionRegistry;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.Peers;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.WireNetwork;
import org.galenahinge.wire.WireTraffic;
import org.galenahinge.wire.generated.Hello;
import org.jboss.logging.Logger;

/**
 * The slot process, which runs on an upstream VM next to its one upstream.
 *
 * <pre>
 * SlotDaemon slot = SlotDaemon.start(settings);
 * slot.stop().toCompletableFuture().join();
 * </pre>
 */
public final class SlotDaemon {
    private static final Logger LOG = Logger.getLogger(SlotDaemon.class);
    private static final int NETWORK_THREADS = 1;
    private static final int MAXIMUM_CONNECTIONS = 2_048;
    private static final int PERMIT_WINDOW = 65_536;
    private static final long MAXIMUM_CACHED_RESPONSE_BYTES = 8L << 20;
    private static final int SECRET_BYTES = 32;
    private static final Duration STATUS_INTERVAL = Duration.ofMillis(50);
    /** Delay from announcing the stop to the entries until new requests are rejected. */
    private static final Duration DRAIN_DELAY = Duration.ofMillis(500);

    /** Time for the last frames to be sent to the entries and the other slot processes. */
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(3);

    /** Time for the requests that are ended at the end of a stop to get their verdicts. */
    private static final Duration END_TIMEOUT = Duration.ofSeconds(1);

    private final Duration stopTimeout;
    private final NetworkThreads threads;
    private final WireNetwork network;
    private final ConnectionRegistry connections = ConnectionRegistry.create(MAXIMUM_CONNECTIONS);
    private final RequestController requests;
    private final TicketController tickets;
    private final WeightsController weights;
    private final UploadController uploads;
    private final Optional<EngineController> engine;
    private final Controller<Runnable> status;
    private final SlotStatusReporter statusReporter;
    private final SlotFrameHandler frames;
    private volatile ServingState serviceState = ServingState.CLOSED;
    private volatile boolean leaving;
    private Optional<CompletionStage<Void>> stopped = Optional.empty();

    private SlotDaemon(SlotSettings settings, MetricRegistry metrics) {
        this.stopTimeout = settings.vmSettings().stopTimeout();
        Vm self = settings.vmSettings().vm();
        long incarnation = Incarnation.random();
        this.threads = NetworkThreads.start(NETWORK_THREADS);
        this.network = WireNetwork.create(threads, new WireTraffic(metrics));
        DecisionLog decisions = DecisionLog.create(settings.vmSettings().decisionLinesPerSecond(), metrics);
        Hello hello = Hello.newBuilder()
                .setVm(self.name())
                .setIncarnation(incarnation)
                .setKind(Peers.SLOT)
                .setRegion(self.region())
                .build();
        PeerConnections peerConnections = PeerConnections.create(network, hello, new SlotFrameHandler.Outgoing());
        ChunkCache cache = ChunkCache.create(settings.weightsMemoryBytes());
        this.requests = RequestController.start(
                Admission.create(settings.maximumConcurrent(), settings.maximumQueued()),
                PermitTable.create(self.name(), incarnation, secret(), PERMIT_WINDOW, MAXIMUM_CACHED_RESPONSE_BYTES),
                (reply, request, fingerprint, listener) ->
                        UpstreamRequest.start(threads, settings.upstream(), reply, request, fingerprint, listener),
                metrics);
        this.engine = startEngine(settings, cache, decisions, peerConnections);
        this.weights = startWeights(settings, cache, decisions, peerConnections, metrics);
        this.uploads = UploadController.start(
                cache,
                settings.vmLinkBytesPerSecond(),
                settings.regionLinkBytesPerSecond(),
                weights::regionShare,
                metrics);
        this.tickets = TicketController.start(self.name(), decisions, assignment -> assign(settings, assignment));
        Supplier<ServingState> serving =
                () -> engine.map(EngineController::serving).orElseGet(this::currentServiceState);
        this.statusReporter = new SlotStatusReporter(
                self,
                incarnation,
                connections,
                tickets,
                weights,
                serving,
                () -> engine.map(EngineController::condition).orElse("plain service"),
                requests::load,
                () -> leaving,
                () -> new SlotStatusReporter.Traffic(
                        metrics.counter("weights.origin.bytes").getCount(),
                        metrics.counter("weights.peer.bytes").getCount(),
                        metrics.counter("weights.cross-region.bytes").getCount()));
        this.status = Controller.start(
                "status",
                64,
                STATUS_INTERVAL,
                Runnable::run,
                Controller.Tick.atMinimumInterval(statusReporter::sendIfChanged));
        this.frames = new SlotFrameHandler(hello, connections, requests, tickets, weights, uploads, statusReporter);
    }

    /**
     * Starts the slot process and its listeners.
     *
     * @param settings the checked settings
     * @return the running slot process
     * @throws IOException when a port is in use
     */
    public static SlotDaemon start(SlotSettings settings) throws IOException {
        Objects.requireNonNull(settings, "settings");
        MetricRegistry metrics = new MetricRegistry();
        SlotDaemon daemon = new SlotDaemon(settings, metrics);
        try {
            daemon.listen(settings.vmSettings().vm(), new MetricsHttp(metrics, daemon::isReady));
        } catch (IOException e) {
            daemon.close();
            throw e;
        }
        LOG.infof(
                "slot %s listens on %s",
                settings.vmSettings().vm().name(), settings.vmSettings().vm().wireAddress());
        return daemon;
    }

    /**
     * Tells whether the upstream may be given requests.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        return statusReporter.state().getReady();
    }

    /**
     * Stops gracefully: notifies the entries, rejects new requests, lets every active request end, then closes. Requests
     * that are left after the time to stop get the verdict "not run" if they wait, and "may have run" if they run.
     *
     * @return completes when the process has closed everything; the same for each call
     */
    public synchronized CompletionStage<Void> stop() {
        if (stopped.isEmpty()) {
            stopped = Optional.of(beginStop());
        }
        return stopped.get();
    }

    private CompletionStage<Void> beginStop() {
        leaving = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        after(DRAIN_DELAY, () -> requests.offer(new RequestEvent.Drain(() -> drained.complete(null))));
        after(stopTimeout, () -> requests.offer(new RequestEvent.EndAll()));
        after(stopTimeout.plus(END_TIMEOUT), () -> drained.complete(null));
        return drained.thenComposeAsync(done -> sendLastFrames()).thenRunAsync(this::close);
    }

    private static void after(Duration delay, Runnable action) {
        CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS)
                .execute(action);
    }

    private CompletionStage<Void> sendLastFrames() {
        return connections
                .closeWhenSent()
                .toCompletableFuture()
                .completeOnTimeout(null, SEND_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void listen(Vm self, MetricsHttp metricsHttp) throws IOException {
        network.listen(self.wireAddress(), frames);
        HttpServer.start(threads, new WireAddress(self.address(), self.httpPort()), metricsHttp::respond);
    }

    private void close() {
        status.close();
        tickets.close();
        engine.ifPresent(EngineController::close);
        weights.close();
        uploads.close();
        requests.close();
        threads.close();
    }

    private Optional<EngineController> startEngine(
            SlotSettings settings, ChunkCache cache, DecisionLog decisions, PeerConnections peerConnections) {
        if (settings.upstreamKind() != UpstreamKind.MODEL) {
            return Optional.empty();
        }
        return Optional.of(EngineController.start(
                EngineClient.create(threads, settings.upstream()),
                settings.upstreamChecksFencing(),
                cache,
                decisions,
                () -> requests.load().running(),
                serving -> requests.offer(new RequestEvent.ServingChanged(serving)),
                ReloadSchedule.create(settings.vmSettings().vm().name(), peerConnections)));
    }

    private WeightsController startWeights(
            SlotSettings settings,
            ChunkCache cache,
            DecisionLog decisions,
            PeerConnections peerConnections,
            MetricRegistry metrics) {
        HttpReader reader = HttpReader.create(threads);
        return WeightsController.start(
                settings.vmSettings().vm(),
                cache,
                PullLimits.forOriginCopies(settings.originCopies()),
                settings.vmLinkBytesPerSecond(),
                controller -> new NetworkPullExecutor(
                        controller,
                        peerConnections,
                        WeightsSourceClient.create(reader, settings.weightsStore()),
                        WeightsSourceClient.create(reader, settings.origin()),
                        settings.originLinkBytesPerSecond()),
                decisions,
                manifest -> engine.ifPresent(
                        controller -> controller.offer(new EngineController.Event.CopyCompleted(manifest))),
                metrics);
    }

    private void assign(SlotSettings settings, Optional<Assignment> assignment) {
        if (engine.isPresent()) {
            weights.offer(new WeightsEvent.AssignmentChanged(
                    assignment.filter(assigned -> assigned.model().isPresent())));
            engine.get().offer(new EngineController.Event.AssignmentChanged(assignment));
            return;
        }
        serviceState = assignment
                .flatMap(Assignment::service)
                .map(workload -> ServingState.service(workload.service(), isIdempotent(settings, workload)))
                .orElse(ServingState.CLOSED);
        requests.offer(new RequestEvent.ServingChanged(serviceState));
    }

    /** Requests count as idempotent only if both the operators' ticket and the settings of the VM say so. */
    private static boolean isIdempotent(SlotSettings settings, ServiceWorkload workload) {
        return settings.requestsIdempotent() && workload.idempotent();
    }

    private ServingState currentServiceState() {
        return serviceState;
    }

    private static byte[] secret() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }
}

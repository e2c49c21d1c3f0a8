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
 * The process of the system on an upstream VM.
 *
 * <pre>
 * SlotDaemon slot = SlotDaemon.start(settings);
 * slot.stop().toCompletableFuture().join();
 * </pre>
 */
public final class SlotDaemon {
    private static final Logger LOG = Logger.getLogger(SlotDaemon.class);
    private static final int NETWORK_THREADS = 1;
    private static final int MAXIMUM_LINKS = 2_048;
    private static final int PERMIT_WINDOW = 65_536;
    private static final long KEPT_ANSWER_BYTES = 8L << 20;
    private static final int SECRET_BYTES = 32;
    private static final Duration STATUS_EVERY = Duration.ofMillis(50);
    private static final Duration NOTICE = Duration.ofMillis(500);

    private final NetworkThreads threads;
    private final WireNetwork network;
    private final RequestController requests;
    private final TicketController tickets;
    private final WeightsController weights;
    private final UploadController uploads;
    private final Optional<EngineController> engine;
    private final Controller<Runnable> status;
    private final SlotStatus slotStatus;
    private final SlotFrameHandler frames;
    private volatile ServingState service = ServingState.CLOSED;
    private volatile boolean leaving;

    private SlotDaemon(SlotSettings settings, MetricRegistry metrics) {
        Vm self = settings.vmSettings().vm();
        long incarnation = Incarnation.draw();
        this.threads = NetworkThreads.start(NETWORK_THREADS);
        this.network = WireNetwork.create(threads, new WireTraffic(metrics));
        DecisionLog decisions = DecisionLog.create(settings.vmSettings().decisionLinesPerSecond(), metrics);
        Hello hello = Hello.newBuilder()
                .setVm(self.name())
                .setIncarnation(incarnation)
                .setKind(Peers.SLOT)
                .setRegion(self.region())
                .build();
        ConnectionRegistry links = ConnectionRegistry.create(MAXIMUM_LINKS);
        PeerConnections peers = PeerConnections.create(network, hello, new SlotFrameHandler.Outgoing());
        ChunkCache memory = ChunkCache.create(settings.weightsMemoryBytes());
        this.requests = RequestController.start(
                Admission.create(settings.maximumConcurrent(), settings.maximumQueued()),
                PermitTable.create(self.name(), incarnation, secret(), PERMIT_WINDOW, KEPT_ANSWER_BYTES),
                (reply, request, fingerprint, listener) ->
                        UpstreamRequest.start(threads, settings.upstream(), reply, request, fingerprint, listener),
                metrics);
        this.engine = startEngine(settings, memory, decisions, peers);
        this.weights = startWeights(settings, memory, decisions, peers, metrics);
        this.uploads = UploadController.start(
                memory,
                settings.vmLinkBytesPerSecond(),
                settings.regionLinkBytesPerSecond(),
                weights::regionShare,
                metrics);
        this.tickets = TicketController.start(self.name(), decisions, assignment -> assign(settings, assignment));
        Supplier<ServingState> serving =
                () -> engine.map(EngineController::serving).orElseGet(this::servedService);
        this.slotStatus = new SlotStatus(
                self,
                incarnation,
                links,
                tickets,
                weights,
                serving,
                () -> engine.map(EngineController::condition).orElse("plain service"),
                requests::load,
                () -> leaving,
                () -> new SlotStatus.Traffic(
                        metrics.counter("weights.origin.bytes").getCount(),
                        metrics.counter("weights.peer.bytes").getCount(),
                        metrics.counter("weights.cross-region.bytes").getCount()));
        this.status = Controller.start(
                "status",
                64,
                STATUS_EVERY,
                Runnable::run,
                Controller.Tick.atMinimumInterval(slotStatus::sendIfChanged));
        this.frames = new SlotFrameHandler(hello, links, requests, tickets, weights, uploads, slotStatus);
    }

    /**
     * Starts the process.
     *
     * @param settings the checked settings
     * @return the running process
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
     * Tells whether the upstream may be given calls.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        return slotStatus.state().getReady();
    }

    /**
     * Stops gracefully: tells the entries, takes no new work, ends every call in progress, then closes.
     *
     * @return done when nothing is left
     */
    public CompletionStage<Void> stop() {
        leaving = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        CompletableFuture.delayedExecutor(NOTICE.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> requests.offer(new RequestEvent.Drain(() -> drained.complete(null))));
        return drained.thenRunAsync(this::close);
    }

    private void listen(Vm self, MetricsHttp metricsHttp) throws IOException {
        network.listen(self.wireAddress(), frames);
        HttpServer.start(threads, new WireAddress(self.address(), self.httpPort()), metricsHttp::answer);
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
            SlotSettings settings, ChunkCache memory, DecisionLog decisions, PeerConnections peers) {
        if (settings.upstreamKind() != UpstreamKind.MODEL) {
            return Optional.empty();
        }
        return Optional.of(EngineController.start(
                EngineClient.create(threads, settings.upstream()),
                settings.upstreamChecksFencing(),
                memory,
                decisions,
                () -> requests.load().running(),
                serving -> requests.offer(new RequestEvent.ServingChanged(serving)),
                ReloadTurn.create(settings.vmSettings().vm().name(), peers)));
    }

    private WeightsController startWeights(
            SlotSettings settings,
            ChunkCache memory,
            DecisionLog decisions,
            PeerConnections peers,
            MetricRegistry metrics) {
        HttpReader reader = HttpReader.create(threads);
        return WeightsController.start(
                settings.vmSettings().vm(),
                memory,
                PullLimits.forOriginCopies(settings.originCopies()),
                settings.vmLinkBytesPerSecond(),
                controller -> new PeerPulls(
                        controller,
                        peers,
                        WeightsSourceClient.create(reader, settings.weightsStore()),
                        WeightsSourceClient.create(reader, settings.origin()),
                        settings.originLinkBytesPerSecond()),
                decisions,
                manifest ->
                        engine.ifPresent(controller -> controller.offer(new EngineController.Event.Complete(manifest))),
                metrics);
    }

    private void assign(SlotSettings settings, Optional<Assignment> assignment) {
        if (engine.isPresent()) {
            weights.offer(new WeightsEvent.Wanted(
                    assignment.filter(assigned -> assigned.model().isPresent())));
            engine.get().offer(new EngineController.Event.Wanted(assignment));
            return;
        }
        service = assignment
                .flatMap(Assignment::service)
                .map(workload -> ServingState.service(workload.service(), isRepeatable(settings, workload)))
                .orElse(ServingState.CLOSED);
        requests.offer(new RequestEvent.ServingChanged(service));
    }

    /** Both the operators' ticket and the settings of the VM must allow repeats. */
    private static boolean isRepeatable(SlotSettings settings, ServiceWorkload workload) {
        return settings.requestsIdempotent() && workload.idempotent();
    }

    private ServingState servedService() {
        return service;
    }

    private static byte[] secret() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return secret;
    }
}

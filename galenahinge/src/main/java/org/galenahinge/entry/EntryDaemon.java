package org.galenahinge.entry;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Stream;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.galenahinge.daemon.ActorRuntime;
import org.galenahinge.daemon.Incarnation;
import org.galenahinge.daemon.MetricsHttp;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.MembershipProtocol;
import org.galenahinge.membership.Vm;
import org.galenahinge.operations.EntryList;
import org.galenahinge.operations.EntryList.EntryAddress;
import org.galenahinge.reader.ConfigurationClient;
import org.galenahinge.reader.HttpReader;
import org.galenahinge.reader.VmListClient;
import org.galenahinge.request.CapacityFilter;
import org.galenahinge.request.Filter;
import org.galenahinge.request.Reason;
import org.galenahinge.request.RetryFilter;
import org.galenahinge.request.Verdict;
import org.galenahinge.settings.EntrySettings;
import org.galenahinge.wire.ConnectionRegistry;
import org.galenahinge.wire.DatagramNetwork;
import org.galenahinge.wire.MembershipCodec;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.Peers;
import org.galenahinge.wire.TicketFrames;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.WireNetwork;
import org.galenahinge.wire.WireTraffic;
import org.galenahinge.wire.generated.Hello;
import org.galenahinge.wire.generated.Report;
import org.galenahinge.wire.generated.SlotState;
import org.jboss.logging.Logger;

/**
 * The system's process on an entry VM: accepts requests of callers, routes them to slot processes, and distributes
 * tickets.
 *
 * <pre>
 * EntryDaemon entry = EntryDaemon.start(settings);
 * entry.stop().toCompletableFuture().join();
 * </pre>
 */
public final class EntryDaemon {
    private static final Logger LOG = Logger.getLogger(EntryDaemon.class);
    private static final int NETWORK_THREADS = 2;
    private static final int MAXIMUM_CONNECTIONS = 4_096;
    private static final int MAXIMUM_ENTRIES_LISTED = 16;
    private static final int MAXIMUM_WEIGHT = 100;
    private static final Duration PEER_SYNCHRONIZATION_TIMEOUT = Duration.ofSeconds(5);

    private final EntrySettings settings;
    private final Vm self;
    private final long incarnation = Incarnation.random();
    private final long startedNanos = System.nanoTime();
    private final ActorSystem<Void> system;
    private final NetworkThreads threads;
    private final WireNetwork network;
    private final ConnectionRegistry registry = ConnectionRegistry.create(MAXIMUM_CONNECTIONS);
    private final EntryFrameHandler frameHandler;
    private final ConnectionManager connections;
    private final SlotDirectory slots = new SlotDirectory();
    private final TicketController tickets;
    private final FleetController fleet;
    private final MembershipController membership;
    private final MetricRegistry metrics;
    private final RoutingController routing;
    private final CapacityFilter capacity;
    private final Dispatcher dispatcher;
    private final CallerHttp callers;
    private final OperatorHttp operators;
    private final MetricsHttp metricsHttp;
    private volatile Optional<DatagramNetwork> datagrams = Optional.empty();
    private volatile Optional<HttpListener> listener = Optional.empty();
    private volatile boolean leaving;
    private Optional<CompletionStage<Void>> stopped = Optional.empty();

    private EntryDaemon(EntrySettings settings, MetricRegistry metrics) {
        this.settings = settings;
        this.self = settings.vmSettings().vm();
        this.system = ActorRuntime.create("entry");
        this.threads = NetworkThreads.start(NETWORK_THREADS);
        this.network = WireNetwork.create(threads, new WireTraffic(metrics));
        DecisionLog decisions = DecisionLog.create(settings.vmSettings().decisionLinesPerSecond(), metrics);
        HttpReader reader = HttpReader.create(threads);
        this.tickets = TicketController.create(
                self,
                ConfigurationClient.create(reader, settings.configurationService()),
                this::entryConnections,
                slots,
                this::isUsableEntry,
                decisions,
                this::ticketsChanged,
                metrics);
        this.frameHandler = new EntryFrameHandler(
                hello(),
                registry,
                new EntryFrameHandler.Handlers(
                        tickets::offer, this::slotReported, this::connectionClosed, this::report));
        this.connections =
                ConnectionManager.create(self, network, frameHandler, tickets::state, new ConnectionListener());
        this.routing = RoutingController.start(
                tickets::state, connections::connectionTo, decisions, settings.routeByPrefix(), metrics);
        this.fleet =
                FleetController.create(VmListClient.create(reader, settings.vmList()), this::fleetChanged, metrics);
        this.membership = new MembershipController(
                self.name(),
                MembershipProtocol.create(
                        self.name(), MembershipProtocol.Timing.STANDARD, incarnation, System.nanoTime()),
                this::sendDatagram,
                () -> tickets.offer(new TicketEvent.MembershipRejoined()),
                metrics);
        this.metrics = metrics;
        this.capacity = new CapacityFilter(settings.maximumRequests(), this::rejectAll);
        this.dispatcher = new Dispatcher(system, routing, connections, fleet, decisions);
        RetryFilter retry = new RetryFilter(dispatcher::attempt, decisions, metrics);
        this.callers = new CallerHttp(
                system,
                new RequestReader(settings.requestTimeout()),
                Filter.chain(List.of(capacity), retry::handle),
                dispatcher,
                this::entryList,
                tickets::state,
                this::rejectAll,
                settings.maximumBodyBytes());
        StatusReports statusReports = new StatusReports(fleet::fleet, connections, this::report);
        this.operators =
                new OperatorHttp(statusReports, new StatusReader(self.name(), fleet::fleet, tickets), decisions);
        this.metricsHttp = new MetricsHttp(metrics, this::isReady);
        metrics.gauge("requests.held", () -> capacity::activeRequests);
    }

    /**
     * Starts the process.
     *
     * @param settings the checked settings
     * @return the running process
     * @throws IOException when a port is in use
     */
    public static EntryDaemon start(EntrySettings settings) throws IOException {
        Objects.requireNonNull(settings, "settings");
        EntryDaemon daemon = new EntryDaemon(settings, new MetricRegistry());
        try {
            daemon.listen();
        } catch (IOException e) {
            daemon.close();
            throw e;
        }
        LOG.infof("entry %s listens on %s:%d", daemon.self.name(), daemon.self.address(), daemon.self.httpPort());
        return daemon;
    }

    /**
     * Tells whether callers may use this entry: it has read the VM list, has the tickets in force and is not stopping.
     * It counts as having the tickets after an exchange with another entry, or after a complete read of the
     * configuration service if there is no other entry or 5 seconds have passed since the start.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        boolean awaitingPeers =
                System.nanoTime() - startedNanos <= PEER_SYNCHRONIZATION_TIMEOUT.toNanos() && !hasNoPeers();
        boolean hasTickets = tickets.hasSynchronizedWithPeer() || (tickets.hasReadConfiguration() && !awaitingPeers);
        return !leaving && fleet.fleet().revision() != 0 && hasTickets;
    }

    /**
     * Stops gracefully: announces it to other entries, rejects new requests, waits until every active request has
     * ended and its response has left, and then closes. Attempts that are left after the time to stop get the verdict "may
     * have run".
     *
     * @return completes when everything is closed; the same for each call
     */
    public synchronized CompletionStage<Void> stop() {
        if (stopped.isEmpty()) {
            stopped = Optional.of(beginStop());
        }
        return stopped.get();
    }

    private CompletionStage<Void> beginStop() {
        leaving = true;
        listener.ifPresent(HttpListener::announceEnd);
        membership.leave();
        EntryStop stop = new EntryStop(
                capacity, dispatcher, settings.vmSettings().stopTimeout(), settings.drainReportInterval());
        return stop.run(this::closeCallers).thenRunAsync(this::close);
    }

    private void listen() throws IOException {
        network.listen(self.wireAddress(), frameHandler);
        datagrams = Optional.of(DatagramNetwork.listen(
                threads, self.wireAddress(), metrics, MembershipCodec::read, membership::received));
        membership.start();
        connections.start();
        tickets.start();
        fleet.start();
        try {
            listener = Optional.of(HttpListener.bind(system, self.address(), self.httpPort(), this::handle)
                    .toCompletableFuture()
                    .join());
        } catch (RuntimeException e) {
            throw new IOException("cannot listen on " + self.address() + ":" + self.httpPort(), e);
        }
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request) {
        return callers.handle(request)
                .or(() -> operators.handle(request))
                .or(() -> metricsHttp
                        .respond(request.getUri().path())
                        .map(document -> CompletableFuture.completedFuture(HttpResponses.of(document))))
                .orElseGet(() -> {
                    request.discardEntityBytes(system);
                    return CompletableFuture.completedFuture(
                            HttpResponses.notFound(request.getUri().path()));
                });
    }

    private Optional<Verdict.NotRun> rejectAll() {
        if (leaving) {
            return Optional.of(Verdict.notRun(Reason.DRAINING, "this entry is stopping", Duration.ZERO));
        }
        if (!isReady()) {
            return Optional.of(
                    Verdict.notRun(Reason.NOT_READY, "this entry has not joined its peers", Duration.ofMillis(500)));
        }
        return Optional.empty();
    }

    private boolean hasNoPeers() {
        return fleet.fleet().vmsOfKind(Vm.Kind.ENTRY).stream()
                .allMatch(vm -> vm.name().equals(self.name()));
    }

    private EntryList entryList() {
        List<Vm> usable = fleet.fleet().vmsOfKind(Vm.Kind.ENTRY).stream()
                .filter(vm -> !vm.leaving() && isUsable(vm))
                .toList();
        List<EntryAddress> entries = Fleet.rank(usable, self.name()).stream()
                .limit(MAXIMUM_ENTRIES_LISTED)
                .map(vm -> new EntryAddress(
                        "http://" + vm.address() + ":" + vm.httpPort(), weightOf(vm), vm.region(), vm.failureDomain()))
                .toList();
        return new EntryList(settings.entryListLifetime().toSeconds(), entries);
    }

    private boolean isUsable(Vm vm) {
        if (vm.name().equals(self.name())) {
            return !leaving;
        }
        return isUsableEntry(vm.name());
    }

    private boolean isUsableEntry(String vm) {
        return membership.isUsable(vm);
    }

    private void sendDatagram(WireAddress to, byte[] bytes) {
        datagrams.ifPresent(network -> network.send(to, bytes));
    }

    /** Returns an entry's weight, 1 to 100. That of this entry is its free capacity in percent. */
    private int weightOf(Vm vm) {
        if (!vm.name().equals(self.name())) {
            return MAXIMUM_WEIGHT;
        }
        int free = settings.maximumRequests() - capacity.activeRequests();
        return Math.max(1, MAXIMUM_WEIGHT * free / settings.maximumRequests());
    }

    private List<WireConnection> entryConnections() {
        return fleet.fleet().vmsOfKind(Vm.Kind.ENTRY).stream()
                .filter(vm -> !vm.name().equals(self.name()))
                .flatMap(vm -> connections.connectionTo(vm.name()).stream())
                .toList();
    }

    private void ticketsChanged() {
        connections.ticketsChanged();
    }

    private void fleetChanged(Fleet newFleet) {
        membership.fleetChanged(newFleet);
        connections.fleetChanged(newFleet);
        tickets.offer(new TicketEvent.FleetChanged(newFleet));
    }

    private void connectionClosed(WireConnection connection) {
        connections.connectionClosed(connection);
    }

    private void slotReported(WireConnection connection, SlotState state) {
        slots.update(state);
        routing.slotReported(state);
        tickets.offer(new TicketEvent.SlotReported(connection, state));
    }

    private Hello hello() {
        return Hello.newBuilder()
                .setVm(self.name())
                .setIncarnation(incarnation)
                .setKind(Peers.ENTRY)
                .build();
    }

    private Report report() {
        return Report.newBuilder()
                .setVm(self.name())
                .setIncarnation(incarnation)
                .setKind(Peers.ENTRY)
                .setRegion(self.region())
                .setFailureDomain(self.failureDomain())
                .setReady(isReady())
                .setLeaving(leaving)
                .addAllGroups(tickets.state().effectiveGroups().stream()
                        .map(TicketFrames::digestOf)
                        .toList())
                .addAllSlots(slots.all())
                .build();
    }

    private CompletionStage<Void> closeCallers() {
        return listener.map(HttpListener::close).orElseGet(() -> CompletableFuture.completedFuture(null));
    }

    private void close() {
        Stream.<AutoCloseable>of(membership, fleet, connections, tickets, routing, threads)
                .forEach(EntryDaemon::closeQuietly);
        system.terminate();
    }

    private static void closeQuietly(AutoCloseable component) {
        try {
            component.close();
        } catch (Exception e) {
            LOG.warnf("error while closing: %s", e);
        }
    }

    /** Forwards changes of connections to the other components. */
    private final class ConnectionListener implements ConnectionManager.Listener {
        @Override
        public void connected(Vm vm, WireConnection connection) {
            if (vm.kind() == Vm.Kind.ENTRY) {
                tickets.offer(new TicketEvent.EntryConnected(connection));
            }
        }

        @Override
        public void unresponsive(Vm vm) {
            if (vm.kind() == Vm.Kind.UPSTREAM) {
                routing.markSuspect(vm.name());
            }
        }

        @Override
        public void unreachable(Vm vm) {
            if (vm.kind() == Vm.Kind.UPSTREAM) {
                slots.markUnreachable(vm.name());
                routing.markUnreachable(vm.name());
            }
        }

        @Override
        public void notNeeded(String vm) {
            slots.remove(vm);
            routing.remove(vm);
        }
    }
}

package org.galenahinge.entry;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
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
import org.galenahinge.wire.DatagramNetwork;
import org.galenahinge.wire.LinkRegistry;
import org.galenahinge.wire.MembershipCodec;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.Peers;
import org.galenahinge.wire.TicketFrames;
import org.galenahinge.wire.WireAddress;
import org.galenahinge.wire.WireLink;
import org.galenahinge.wire.WireNetwork;
import org.galenahinge.wire.WireTraffic;
import org.galenahinge.wire.generated.Hello;
import org.galenahinge.wire.generated.Report;
import org.galenahinge.wire.generated.SlotState;
import org.jboss.logging.Logger;

/**
 * The process of the system on an entry VM.
 *
 * <pre>
 * EntryDaemon entry = EntryDaemon.start(settings);
 * entry.stop().toCompletableFuture().join();
 * </pre>
 */
public final class EntryDaemon {
    private static final Logger LOG = Logger.getLogger(EntryDaemon.class);
    private static final int NETWORK_THREADS = 2;
    private static final int MAXIMUM_LINKS = 4_096;
    private static final int ENTRIES_NAMED = 16;
    private static final int FULL_WEIGHT = 100;
    private static final Duration JOIN_PATIENCE = Duration.ofSeconds(5);
    private static final Duration IDLE_POLL = Duration.ofMillis(50);

    private final EntrySettings settings;
    private final Vm self;
    private final long incarnation = Incarnation.random();
    private final long startedNanos = System.nanoTime();
    private final ActorSystem<Void> system;
    private final NetworkThreads threads;
    private final WireNetwork network;
    private final LinkRegistry links = LinkRegistry.create(MAXIMUM_LINKS);
    private final EntryFrames frames;
    private final LinkKeeper keeper;
    private final SlotDirectory slots = new SlotDirectory();
    private final TicketController tickets;
    private final FleetController fleet;
    private final MembershipController membership;
    private final MetricRegistry metrics;
    private final RoutingController routing;
    private final CapacityFilter capacity;
    private final CallerHttp callers;
    private final OperatorHttp operators;
    private final MetricsHttp metricsHttp;
    private volatile Optional<DatagramNetwork> datagrams = Optional.empty();
    private volatile Optional<ServerBinding> binding = Optional.empty();
    private volatile boolean leaving;

    private EntryDaemon(EntrySettings settings, MetricRegistry metrics) {
        this.settings = settings;
        this.self = settings.site().vm();
        this.system = ActorRuntime.create("entry");
        this.threads = NetworkThreads.start(NETWORK_THREADS);
        this.network = WireNetwork.create(threads, new WireTraffic(metrics));
        DecisionLog decisions = DecisionLog.create(settings.site().decisionLinesPerSecond(), metrics);
        HttpReader reader = HttpReader.create(threads);
        this.tickets = TicketController.create(
                self,
                ConfigurationClient.create(reader, settings.configurationService()),
                this::entryLinks,
                slots,
                this::isUsableEntry,
                decisions,
                this::ticketsChanged,
                metrics);
        this.frames = new EntryFrames(
                hello(),
                links,
                new EntryFrames.Duties(tickets::offer, this::slotReported, this::linkClosed, this::report));
        this.keeper = LinkKeeper.create(self, network, frames, tickets::state, new Linked());
        this.routing =
                RoutingController.start(tickets::state, keeper::linkTo, decisions, settings.routeByPrefix(), metrics);
        this.fleet =
                FleetController.create(VmListClient.create(reader, settings.vmList()), this::fleetChanged, metrics);
        this.membership = new MembershipController(
                self.name(),
                MembershipProtocol.create(
                        self.name(), MembershipProtocol.Timing.STANDARD, incarnation, System.nanoTime()),
                this::sendDatagram,
                () -> tickets.offer(new TicketEvent.Awake()),
                metrics);
        this.metrics = metrics;
        this.capacity = new CapacityFilter(settings.maximumRequests(), this::closed);
        Dispatcher dispatcher = new Dispatcher(system, routing, keeper, fleet, decisions);
        RetryFilter retry = new RetryFilter(dispatcher::attempt, decisions, metrics);
        this.callers = new CallerHttp(
                system,
                new CallReader(settings.requestTimeout()),
                Filter.chain(List.of(capacity), retry::handle),
                dispatcher,
                this::entryList,
                tickets::state,
                this::closed,
                settings.maximumBodyBytes());
        Reports reports = new Reports(fleet::fleet, keeper, this::report);
        this.operators = new OperatorHttp(reports, new Readback(self.name(), fleet::fleet, tickets), decisions);
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
     * Tells whether callers may use this entry: it knows the fleet, has joined what its peers hold, and stays.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        boolean patient = System.nanoTime() - startedNanos <= JOIN_PATIENCE.toNanos() && !hasNoPeers();
        boolean joined = tickets.hasJoinedPeer() || (tickets.hasRead() && !patient);
        return !leaving && fleet.fleet().revision() != 0 && joined;
    }

    /**
     * Stops gracefully: tells peers, takes no new requests, ends every request in progress, then closes.
     *
     * @return done when nothing is left
     */
    public CompletionStage<Void> stop() {
        leaving = true;
        membership.leave();
        CompletableFuture<Void> idle = new CompletableFuture<>();
        capacity.whenIdle(() -> idle.complete(null));
        reportWaiting(idle);
        return idle.thenRunAsync(this::unbind)
                .thenRunAsync(
                        this::close, CompletableFuture.delayedExecutor(IDLE_POLL.toMillis(), TimeUnit.MILLISECONDS));
    }

    private void reportWaiting(CompletableFuture<Void> idle) {
        CompletableFuture.delayedExecutor(settings.drainTimeout().toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> {
                    if (!idle.isDone()) {
                        LOG.infof("still waiting for %d requests to end", capacity.activeRequests());
                        reportWaiting(idle);
                    }
                });
    }

    private void listen() throws IOException {
        network.listen(self.wireAddress(), frames);
        datagrams = Optional.of(DatagramNetwork.listen(
                threads, self.wireAddress(), metrics, MembershipCodec::read, membership::received));
        membership.begin();
        keeper.begin();
        tickets.begin();
        fleet.begin();
        try {
            binding = Optional.of(Http.get(system)
                    .newServerAt(self.address(), self.httpPort())
                    .bind(this::answer)
                    .toCompletableFuture()
                    .join());
        } catch (RuntimeException e) {
            throw new IOException("cannot listen on " + self.address() + ":" + self.httpPort(), e);
        }
    }

    private CompletionStage<HttpResponse> answer(HttpRequest request) {
        return callers.answer(request)
                .or(() -> operators.answer(request))
                .or(() -> metricsHttp
                        .respond(request.getUri().path())
                        .map(document -> CompletableFuture.completedFuture(HttpAnswers.of(document))))
                .orElseGet(() -> {
                    request.discardEntityBytes(system);
                    return CompletableFuture.completedFuture(
                            HttpAnswers.notFound(request.getUri().path()));
                });
    }

    private Optional<Verdict.NotRun> closed() {
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
                .limit(ENTRIES_NAMED)
                .map(vm -> new EntryAddress(
                        "http://" + vm.address() + ":" + vm.httpPort(), weightOf(vm), vm.region(), vm.failureDomain()))
                .toList();
        return new EntryList(settings.entryLifetime().toSeconds(), entries);
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

    /** An entry that is nearly full asks for fewer callers. */
    private int weightOf(Vm vm) {
        if (!vm.name().equals(self.name())) {
            return FULL_WEIGHT;
        }
        int free = settings.maximumRequests() - capacity.activeRequests();
        return Math.max(1, FULL_WEIGHT * free / settings.maximumRequests());
    }

    private List<WireLink> entryLinks() {
        return fleet.fleet().vmsOfKind(Vm.Kind.ENTRY).stream()
                .filter(vm -> !vm.name().equals(self.name()))
                .flatMap(vm -> keeper.linkTo(vm.name()).stream())
                .toList();
    }

    private void ticketsChanged() {
        keeper.ticketsChanged();
    }

    private void fleetChanged(Fleet next) {
        membership.fleetChanged(next);
        keeper.fleetChanged(next);
        tickets.offer(new TicketEvent.FleetChanged(next));
    }

    private void linkClosed(WireLink link) {
        keeper.linkClosed(link);
    }

    private void slotReported(WireLink link, SlotState state) {
        slots.reported(state);
        routing.reported(state);
        tickets.offer(new TicketEvent.SlotReported(link, state));
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

    private void unbind() {
        binding.ifPresent(bound -> bound.unbind().toCompletableFuture().join());
    }

    private void close() {
        Stream.<AutoCloseable>of(membership, fleet, keeper, tickets, routing, threads)
                .forEach(EntryDaemon::closeQuietly);
        system.terminate();
    }

    private static void closeQuietly(AutoCloseable part) {
        try {
            part.close();
        } catch (Exception e) {
            LOG.warnf("while closing: %s", e);
        }
    }

    /** Hears which VMs are linked. */
    private final class Linked implements LinkKeeper.Listener {
        @Override
        public void linked(Vm vm, WireLink link) {
            if (vm.kind() == Vm.Kind.ENTRY) {
                tickets.offer(new TicketEvent.EntryLinked(link));
            }
        }

        @Override
        public void silent(Vm vm) {
            if (vm.kind() == Vm.Kind.UPSTREAM) {
                routing.suspect(vm.name());
            }
        }

        @Override
        public void unreachable(Vm vm) {
            if (vm.kind() == Vm.Kind.UPSTREAM) {
                slots.unreachable(vm.name());
                routing.unreachable(vm.name());
            }
        }

        @Override
        public void unwanted(String vm) {
            slots.forget(vm);
            routing.forget(vm);
        }
    }
}

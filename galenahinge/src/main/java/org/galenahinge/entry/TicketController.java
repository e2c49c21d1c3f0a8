package org.galenahinge.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.galenahinge.concurrent.Controller;
import org.galenahinge.log.DecisionLog;
import org.galenahinge.membership.Fleet;
import org.galenahinge.membership.Vm;
import org.galenahinge.reader.ConfigurationClient;
import org.galenahinge.reader.ConfigurationClient.Page;
import org.galenahinge.reader.ConfigurationClient.Value;
import org.galenahinge.ticket.Ticket;
import org.galenahinge.ticket.TicketResult;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.ticket.TicketState.EffectiveGroup;
import org.galenahinge.wire.TicketFrames;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.GroupDigest;
import org.galenahinge.wire.generated.TicketDigest;
import org.galenahinge.wire.generated.TicketRequest;
import org.jboss.logging.Logger;

/**
 * Holds the tickets in force at this entry and distributes them. State changes on one thread.
 *
 * <p>{@value #WATCHERS_PER_FAILURE_DOMAIN} entries of each failure domain watch the configuration service. A new ticket
 * is announced to the connected entries, which request it if they lack it, and pushed to the connected slot processes
 * that it concerns. Tickets whose messages were lost are recovered by comparing digests with a random entry
 * periodically.
 */
final class TicketController implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(TicketController.class);
    private static final int QUEUE_CAPACITY = 4_096;
    private static final int WATCHERS_PER_FAILURE_DOMAIN = 2;
    private static final Duration MINIMUM_TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(500);
    private static final Duration MAXIMUM_WATCH_DURATION = Duration.ofSeconds(20);
    private static final long COMPARE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long MINIMUM_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long MAXIMUM_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long NON_WATCHER_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Vm self;
    private final ConfigurationClient configuration;
    private final Supplier<List<WireConnection>> entryConnections;
    private final Predicate<String> isUsableEntry;
    private final DecisionLog decisions;
    private final Runnable onChange;
    private final Random random = new Random();
    private final Controller<TicketEvent> controller;
    private final Counter reads;
    private final TicketHistory history = new TicketHistory();
    private final TicketPush push;
    private TicketState state = TicketState.empty();
    private Fleet fleet = Fleet.empty();
    private long epoch;
    private long revision;
    private boolean readPending;
    private long nextReadNanos = System.nanoTime();
    private long backoffNanos = MINIMUM_BACKOFF_NANOS;
    private long nextCompareNanos = System.nanoTime();
    private volatile TicketState snapshot = TicketState.empty();
    private volatile boolean readCompletely;
    private volatile boolean synchronizedWithPeer;

    private TicketController(
            Vm self,
            ConfigurationClient configuration,
            Supplier<List<WireConnection>> entryConnections,
            SlotDirectory slots,
            Predicate<String> isUsableEntry,
            DecisionLog decisions,
            Runnable onChange,
            MetricRegistry metrics) {
        this.self = self;
        this.configuration = configuration;
        this.entryConnections = entryConnections;
        this.push = new TicketPush(slots);
        this.isUsableEntry = isUsableEntry;
        this.decisions = decisions;
        this.onChange = onChange;
        this.reads = metrics.counter("platform.configuration.reads");
        this.controller = Controller.create("tickets", QUEUE_CAPACITY, MINIMUM_TICK_INTERVAL, this::handle, this::tick);
    }

    static TicketController create(
            Vm self,
            ConfigurationClient configuration,
            Supplier<List<WireConnection>> entryConnections,
            SlotDirectory slots,
            Predicate<String> isUsableEntry,
            DecisionLog decisions,
            Runnable onChange,
            MetricRegistry metrics) {
        return new TicketController(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(configuration, "configuration"),
                Objects.requireNonNull(entryConnections, "entryConnections"),
                Objects.requireNonNull(slots, "slots"),
                Objects.requireNonNull(isUsableEntry, "isUsableEntry"),
                Objects.requireNonNull(decisions, "decisions"),
                Objects.requireNonNull(onChange, "onChange"),
                metrics);
    }

    boolean offer(TicketEvent event) {
        return controller.offer(event);
    }

    TicketState state() {
        return snapshot;
    }

    /** Returns why a ticket with this number was rejected, for operators; empty if none was. */
    Optional<String> rejectionOf(long number) {
        return history.rejectionOf(number);
    }

    /**
     * Returns the groups that a ticket changes, for operators; empty if this entry never received it, or received
     * {@value TicketHistory#MAXIMUM_TICKETS} or more tickets with higher numbers.
     */
    List<String> groupsOf(long number) {
        return history.groupsOf(number);
    }

    /** Tells whether the configuration service has been read completely since the start. */
    boolean hasReadConfiguration() {
        return readCompletely;
    }

    /** Tells whether another entry has sent tickets, or a digest of all its tickets, since the start. */
    boolean hasSynchronizedWithPeer() {
        return synchronizedWithPeer;
    }

    void start() {
        controller.startThread();
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(TicketEvent event) {
        if (event instanceof TicketEvent.PageRead read) {
            readPending = false;
            handlePage(read.page());
        } else if (event instanceof TicketEvent.ReadFailed failed) {
            readPending = false;
            backOff(failed.detail());
        } else if (event instanceof TicketEvent.TicketsDelivered delivered) {
            synchronizedWithPeer = true;
            List<String> texts = delivered.delivery().getTicketsList().stream()
                    .map(content -> content.getJson().toStringUtf8())
                    .toList();
            mergeAll(texts, "a peer");
        } else if (event instanceof TicketEvent.DigestReceived received) {
            handleDigest(received.connection(), received.digest());
        } else if (event instanceof TicketEvent.TicketsRequested requested) {
            sendRequested(requested);
        } else if (event instanceof TicketEvent.SlotReported reported) {
            push.slotReported(reported.connection(), reported.state(), state, fleet);
        } else if (event instanceof TicketEvent.FleetChanged fleetChanged) {
            fleet = fleetChanged.fleet();
            push.toAll(state, fleet);
        } else if (event instanceof TicketEvent.MembershipRejoined) {
            nextCompareNanos = System.nanoTime();
        } else if (event instanceof TicketEvent.EntryConnected connected) {
            connected.connection().send(TicketFrames.digest(state.effectiveGroups(), true));
        }
    }

    private Duration tick() {
        long now = System.nanoTime();
        boolean due = isWatcher() || !readCompletely || now - nextReadNanos > NON_WATCHER_READ_INTERVAL_NANOS;
        if (!readPending && due && now - nextReadNanos >= 0) {
            read();
        }
        if (now - nextCompareNanos >= 0) {
            nextCompareNanos = now + COMPARE_INTERVAL_NANOS;
            compareWithRandomEntry();
            push.toAll(state, fleet);
        }
        return readPending || readCompletely ? IDLE_TICK_INTERVAL : MINIMUM_TICK_INTERVAL;
    }

    private boolean isWatcher() {
        List<Vm> domain = fleet.vmsOfKind(Vm.Kind.ENTRY).stream()
                .filter(vm -> vm.failureDomain().equals(self.failureDomain()) && !vm.leaving())
                .filter(vm -> vm.name().equals(self.name()) || isUsableEntry.test(vm.name()))
                .toList();
        List<Vm> ranked = Fleet.rank(domain, "watchers");
        return ranked.stream()
                .limit(WATCHERS_PER_FAILURE_DOMAIN)
                .anyMatch(vm -> vm.name().equals(self.name()));
    }

    private void read() {
        readPending = true;
        reads.inc();
        Duration wait = readCompletely ? MAXIMUM_WATCH_DURATION : Duration.ZERO;
        configuration
                .readTickets(revision, wait)
                .handle((page, error) -> error == null
                        ? new TicketEvent.PageRead(page)
                        : new TicketEvent.ReadFailed(String.valueOf(error.getMessage())))
                .thenAccept(controller::offer);
    }

    private void handlePage(Page page) {
        backoffNanos = MINIMUM_BACKOFF_NANOS;
        nextReadNanos = System.nanoTime();
        boolean restored = revision > 0 && page.epoch() != epoch;
        epoch = page.epoch();
        if (restored || page.revision() < revision) {
            LOG.warnf("the configuration service went back from revision %d to %d", revision, page.revision());
            revision = 0;
            return;
        }
        mergeAll(page.values().stream().map(Value::value).toList(), "the configuration service");
        revision = page.revision();
        readCompletely = readCompletely || !page.more();
    }

    private void backOff(String detail) {
        nextReadNanos = System.nanoTime() + (long) (backoffNanos * (0.5 + random.nextDouble()));
        backoffNanos = Math.min(MAXIMUM_BACKOFF_NANOS, backoffNanos * 2);
        LOG.debugf("cannot read the configuration service: %s", detail);
    }

    private void mergeAll(List<String> texts, String source) {
        Set<String> changedGroups = new HashSet<>();
        for (String text : texts) {
            merge(text, source, changedGroups);
        }
        if (changedGroups.isEmpty()) {
            return;
        }
        snapshot = state;
        onChange.run();
        List<EffectiveGroup> groups = changedGroups.stream()
                .flatMap(group ->
                        state
                                .ticketOf(group)
                                .map(ticket -> new EffectiveGroup(
                                        ticket, ticket.group(group).orElseThrow()))
                                .stream())
                .toList();
        Frame announcement = TicketFrames.digest(groups, false);
        entryConnections.get().forEach(connection -> connection.send(announcement));
        push.toAll(state, fleet);
    }

    private void merge(String text, String source, Set<String> changedGroups) {
        TicketResult result = Ticket.parse(text);
        if (result instanceof TicketResult.Invalid invalid) {
            LOG.warnf("rejected a ticket from %s: %s", source, invalid.errors());
            return;
        }
        Ticket ticket = ((TicketResult.Valid) result).ticket();
        TicketState.Merge merge = state.merge(ticket);
        history.add(ticket);
        if (merge.outcome() == TicketState.Outcome.NUMBER_TAKEN) {
            history.recordNumberConflict(ticket);
        }
        if (merge.state() == state) {
            return;
        }
        state = merge.state();
        ticket.groups().forEach(group -> changedGroups.add(group.group()));
        decisions.record("ticket-" + ticket.number(), "ticket", List.of(), "in force", "merged from " + source);
    }

    private void compareWithRandomEntry() {
        List<WireConnection> connections = entryConnections.get();
        if (connections.isEmpty()) {
            return;
        }
        TicketDigest root =
                TicketDigest.newBuilder().setRoot(TicketFrames.rootOf(state)).build();
        connections
                .get(random.nextInt(connections.size()))
                .send(Frame.newBuilder().setTicketDigest(root).build());
    }

    private void handleDigest(WireConnection connection, TicketDigest digest) {
        boolean onlyRoot = digest.getGroupsCount() == 0 && !digest.getFull();
        if (onlyRoot) {
            if (digest.getRoot() != TicketFrames.rootOf(state)) {
                connection.send(TicketFrames.digest(state.effectiveGroups(), true));
            }
            return;
        }
        synchronizedWithPeer = synchronizedWithPeer || digest.getFull();
        requestMissing(connection, digest);
        if (digest.getFull()) {
            sendMissing(connection, digest);
        }
    }

    private void requestMissing(WireConnection connection, TicketDigest digest) {
        List<String> wanted = new ArrayList<>();
        for (GroupDigest group : digest.getGroupsList()) {
            if (TicketFrames.isNewer(group, state.ticketOf(group.getGroup()))) {
                wanted.add(group.getGroup());
            }
        }
        if (!wanted.isEmpty()) {
            TicketRequest request =
                    TicketRequest.newBuilder().addAllGroups(wanted).build();
            connection.send(Frame.newBuilder().setTicketRequest(request).build());
        }
    }

    private void sendMissing(WireConnection connection, TicketDigest digest) {
        Map<String, GroupDigest> peerDigests = new HashMap<>();
        digest.getGroupsList().forEach(group -> peerDigests.put(group.getGroup(), group));
        Map<Long, Ticket> missing = new TreeMap<>();
        for (EffectiveGroup group : state.effectiveGroups()) {
            if (TicketFrames.isOlder(peerDigests.get(group.content().group()), group.ticket())) {
                missing.put(group.ticket().number(), group.ticket());
            }
        }
        if (!missing.isEmpty()) {
            connection.send(TicketFrames.delivery(List.copyOf(missing.values()), List.of()));
        }
    }

    private void sendRequested(TicketEvent.TicketsRequested requested) {
        Map<Long, Ticket> wanted = new TreeMap<>();
        for (String group : requested.request().getTicketRequest().getGroupsList()) {
            state.ticketOf(group).ifPresent(ticket -> wanted.put(ticket.number(), ticket));
        }
        requested.connection().send(TicketFrames.delivery(List.copyOf(wanted.values()), List.of()));
    }
}

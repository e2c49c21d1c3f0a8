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
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
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
import org.galenahinge.ticket.TicketGroup;
import org.galenahinge.ticket.TicketResult;
import org.galenahinge.ticket.TicketState;
import org.galenahinge.ticket.TicketState.EffectiveGroup;
import org.galenahinge.wire.TicketFrames;
import org.galenahinge.wire.WireConnection;
import org.galenahinge.wire.generated.Frame;
import org.galenahinge.wire.generated.GroupDigest;
import org.galenahinge.wire.generated.Peer;
import org.galenahinge.wire.generated.SlotState;
import org.galenahinge.wire.generated.TicketDigest;
import org.galenahinge.wire.generated.TicketRequest;
import org.jboss.logging.Logger;

/**
 * Holds the tickets in force at this entry and spreads them. One thread.
 *
 * <p>A few entries of each failure domain watch the configuration service. A ticket that is new here is announced to
 * the linked entries, which ask for it if they lack it, and pushed to the linked slot processes that it concerns.
 * Comparing a digest with one other entry at a time repairs what was lost.
 */
final class TicketController implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(TicketController.class);
    private static final int RING = 4_096;
    private static final int WATCHERS_PER_FAILURE_DOMAIN = 2;
    private static final int REFUSALS_KEPT = 1_000;
    private static final int TICKETS_REMEMBERED = 20_000;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration IDLE = Duration.ofMillis(500);
    private static final Duration LONGEST_WATCH = Duration.ofSeconds(20);
    private static final long COMPARE_EVERY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long LEAST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long GREATEST_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long FALLBACK_READ_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Vm self;
    private final ConfigurationClient configuration;
    private final Supplier<List<WireConnection>> entryLinks;
    private final SlotDirectory slots;
    private final Predicate<String> usableEntry;
    private final DecisionLog decisions;
    private final Runnable changed;
    private final Random random = new Random();
    private final Controller<TicketEvent> controller;
    private final Counter reads;
    private final Map<Long, String> refusals = new TreeMap<>();
    private final Map<WireConnection, SlotPush> pushes = new HashMap<>();
    private final ConcurrentNavigableMap<Long, List<String>> history = new ConcurrentSkipListMap<>();
    private TicketState state = TicketState.empty();
    private Fleet fleet = Fleet.empty();
    private long revision;
    private boolean reading;
    private long nextReadNanos = System.nanoTime();
    private long backoffNanos = LEAST_BACKOFF_NANOS;
    private long nextCompareNanos = System.nanoTime();
    private volatile TicketState snapshot = TicketState.empty();
    private volatile Map<Long, String> refusalSnapshot = Map.of();
    private volatile boolean readOnce;
    private volatile boolean joinedPeer;

    private TicketController(
            Vm self,
            ConfigurationClient configuration,
            Supplier<List<WireConnection>> entryLinks,
            SlotDirectory slots,
            Predicate<String> usableEntry,
            DecisionLog decisions,
            Runnable changed,
            MetricRegistry metrics) {
        this.self = self;
        this.configuration = configuration;
        this.entryLinks = entryLinks;
        this.slots = slots;
        this.usableEntry = usableEntry;
        this.decisions = decisions;
        this.changed = changed;
        this.reads = metrics.counter("platform.configuration.reads");
        this.controller = Controller.create("tickets", RING, TICK, this::handle, this::tick);
    }

    static TicketController create(
            Vm self,
            ConfigurationClient configuration,
            Supplier<List<WireConnection>> entryLinks,
            SlotDirectory slots,
            Predicate<String> usableEntry,
            DecisionLog decisions,
            Runnable changed,
            MetricRegistry metrics) {
        return new TicketController(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(configuration, "configuration"),
                Objects.requireNonNull(entryLinks, "entryLinks"),
                Objects.requireNonNull(slots, "slots"),
                Objects.requireNonNull(usableEntry, "usableEntry"),
                Objects.requireNonNull(decisions, "decisions"),
                Objects.requireNonNull(changed, "changed"),
                metrics);
    }

    boolean offer(TicketEvent event) {
        return controller.offer(event);
    }

    TicketState state() {
        return snapshot;
    }

    /** Why tickets of a number were refused, for operators. */
    Optional<String> refusalOf(long number) {
        return Optional.ofNullable(refusalSnapshot.get(number));
    }

    /** The groups that a ticket touches, for operators; empty when it was not seen here, or too long ago. */
    List<String> groupsOf(long number) {
        return history.getOrDefault(number, List.of());
    }

    /** Whether the configuration service has been read in full since the start. */
    boolean hasRead() {
        return readOnce;
    }

    /** Whether another entry's state has been joined since the start. */
    boolean hasJoinedPeer() {
        return joinedPeer;
    }

    void begin() {
        controller.startThread();
    }

    @Override
    public void close() {
        controller.close();
    }

    private void handle(TicketEvent event) {
        if (event instanceof TicketEvent.Read read) {
            reading = false;
            take(read.page());
        } else if (event instanceof TicketEvent.ReadFailed failed) {
            reading = false;
            backOff(failed.detail());
        } else if (event instanceof TicketEvent.Delivered delivered) {
            joinedPeer = true;
            List<String> texts = delivered.delivery().getTicketsList().stream()
                    .map(content -> content.getJson().toStringUtf8())
                    .toList();
            mergeAll(texts, "a peer");
        } else if (event instanceof TicketEvent.Compared compared) {
            compare(compared.link(), compared.digest());
        } else if (event instanceof TicketEvent.Asked asked) {
            deliver(asked);
        } else if (event instanceof TicketEvent.SlotReported reported) {
            push(reported.link(), reported.state());
        } else if (event instanceof TicketEvent.FleetChanged fleetChanged) {
            fleet = fleetChanged.fleet();
            pushAll();
        } else if (event instanceof TicketEvent.Awake) {
            nextCompareNanos = System.nanoTime();
        } else if (event instanceof TicketEvent.EntryLinked linked) {
            linked.link().send(TicketFrames.digest(state.effectiveGroups(), true));
        }
    }

    private Duration tick() {
        long now = System.nanoTime();
        boolean due = isWatcher() || !readOnce || now - nextReadNanos > FALLBACK_READ_NANOS;
        if (!reading && due && now - nextReadNanos >= 0) {
            read();
        }
        if (now - nextCompareNanos >= 0) {
            nextCompareNanos = now + COMPARE_EVERY_NANOS;
            compareWithOne();
            pushAll();
        }
        return reading || readOnce ? IDLE : TICK;
    }

    private boolean isWatcher() {
        List<Vm> domain = fleet.vmsOfKind(Vm.Kind.ENTRY).stream()
                .filter(vm -> vm.failureDomain().equals(self.failureDomain()) && !vm.leaving())
                .filter(vm -> vm.name().equals(self.name()) || usableEntry.test(vm.name()))
                .toList();
        List<Vm> first = Fleet.rank(domain, "watchers");
        return first.stream()
                .limit(WATCHERS_PER_FAILURE_DOMAIN)
                .anyMatch(vm -> vm.name().equals(self.name()));
    }

    private void read() {
        reading = true;
        reads.inc();
        Duration wait = readOnce ? LONGEST_WATCH : Duration.ZERO;
        configuration
                .readTickets(revision, wait)
                .handle((page, error) -> error == null
                        ? new TicketEvent.Read(page)
                        : new TicketEvent.ReadFailed(String.valueOf(error.getMessage())))
                .thenAccept(controller::offer);
    }

    private void take(Page page) {
        backoffNanos = LEAST_BACKOFF_NANOS;
        nextReadNanos = System.nanoTime();
        if (page.revision() < revision) {
            LOG.warnf("the configuration service went back from revision %d to %d", revision, page.revision());
            revision = 0;
            return;
        }
        mergeAll(page.values().stream().map(Value::value).toList(), "the configuration service");
        revision = page.revision();
        readOnce = readOnce || !page.more();
    }

    private void backOff(String detail) {
        nextReadNanos = System.nanoTime() + (long) (backoffNanos * (0.5 + random.nextDouble()));
        backoffNanos = Math.min(GREATEST_BACKOFF_NANOS, backoffNanos * 2);
        LOG.debugf("cannot read the configuration service: %s", detail);
    }

    private void mergeAll(List<String> texts, String source) {
        Set<String> touched = new HashSet<>();
        for (String text : texts) {
            merge(text, source, touched);
        }
        if (touched.isEmpty()) {
            return;
        }
        snapshot = state;
        changed.run();
        List<EffectiveGroup> groups = touched.stream()
                .flatMap(group ->
                        state
                                .ticketOf(group)
                                .map(ticket -> new EffectiveGroup(
                                        ticket, ticket.group(group).orElseThrow()))
                                .stream())
                .toList();
        Frame announcement = TicketFrames.digest(groups, false);
        entryLinks.get().forEach(link -> link.send(announcement));
        pushAll();
    }

    private void merge(String text, String source, Set<String> touched) {
        TicketResult result = Ticket.parse(text);
        if (result instanceof TicketResult.Invalid invalid) {
            LOG.warnf("refused a ticket from %s: %s", source, invalid.errors());
            return;
        }
        Ticket ticket = ((TicketResult.Valid) result).ticket();
        TicketState.Merge merge = state.merge(ticket);
        remember(ticket);
        if (merge.outcome() == TicketState.Outcome.NUMBER_TAKEN) {
            refuse(ticket);
        }
        if (merge.state() == state) {
            return;
        }
        state = merge.state();
        ticket.groups().forEach(group -> touched.add(group.group()));
        decisions.record("ticket-" + ticket.number(), "ticket", List.of(), "in force", "joined from " + source);
    }

    private void remember(Ticket ticket) {
        history.put(
                ticket.number(),
                ticket.groups().stream().map(TicketGroup::group).toList());
        while (history.size() > TICKETS_REMEMBERED) {
            history.pollFirstEntry();
        }
    }

    private void refuse(Ticket ticket) {
        refusals.put(ticket.number(), "number taken: two tickets carry it with other content");
        while (refusals.size() > REFUSALS_KEPT) {
            refusals.remove(refusals.keySet().iterator().next());
        }
        refusalSnapshot = Map.copyOf(refusals);
        LOG.warnf("ticket %d was published twice with other content", ticket.number());
    }

    private void compareWithOne() {
        List<WireConnection> links = entryLinks.get();
        if (links.isEmpty()) {
            return;
        }
        TicketDigest root =
                TicketDigest.newBuilder().setRoot(TicketFrames.rootOf(state)).build();
        links.get(random.nextInt(links.size()))
                .send(Frame.newBuilder().setTicketDigest(root).build());
    }

    private void compare(WireConnection link, TicketDigest digest) {
        boolean onlyRoot = digest.getGroupsCount() == 0 && !digest.getFull();
        if (onlyRoot) {
            if (digest.getRoot() != TicketFrames.rootOf(state)) {
                link.send(TicketFrames.digest(state.effectiveGroups(), true));
            }
            return;
        }
        joinedPeer = joinedPeer || digest.getFull();
        askForMissing(link, digest);
        if (digest.getFull()) {
            deliverMissing(link, digest);
        }
    }

    private void askForMissing(WireConnection link, TicketDigest digest) {
        List<String> wanted = new ArrayList<>();
        for (GroupDigest group : digest.getGroupsList()) {
            if (TicketFrames.isNewer(group, state.ticketOf(group.getGroup()))) {
                wanted.add(group.getGroup());
            }
        }
        if (!wanted.isEmpty()) {
            TicketRequest request =
                    TicketRequest.newBuilder().addAllGroups(wanted).build();
            link.send(Frame.newBuilder().setTicketRequest(request).build());
        }
    }

    private void deliverMissing(WireConnection link, TicketDigest digest) {
        Map<String, GroupDigest> theirs = new HashMap<>();
        digest.getGroupsList().forEach(group -> theirs.put(group.getGroup(), group));
        Map<Long, Ticket> missing = new TreeMap<>();
        for (EffectiveGroup own : state.effectiveGroups()) {
            if (TicketFrames.isOlder(theirs.get(own.content().group()), own.ticket())) {
                missing.put(own.ticket().number(), own.ticket());
            }
        }
        if (!missing.isEmpty()) {
            link.send(TicketFrames.delivery(List.copyOf(missing.values()), List.of()));
        }
    }

    private void deliver(TicketEvent.Asked asked) {
        Map<Long, Ticket> wanted = new TreeMap<>();
        for (String group : asked.request().getTicketRequest().getGroupsList()) {
            state.ticketOf(group).ifPresent(ticket -> wanted.put(ticket.number(), ticket));
        }
        asked.link().send(TicketFrames.delivery(List.copyOf(wanted.values()), List.of()));
    }

    private void pushAll() {
        pushes.keySet().removeIf(link -> !link.isOpen());
        pushes.forEach((link, push) -> push(link, push.state));
    }

    /** Sends a slot process the tickets that concern it and that it lacks, and the VMs of its group. */
    private void push(WireConnection link, SlotState reported) {
        SlotPush push = pushes.computeIfAbsent(link, opened -> new SlotPush());
        push.state = reported;
        Map<String, GroupDigest> held = new HashMap<>();
        reported.getGroupsList().forEach(group -> held.put(group.getGroup(), group));
        Map<Long, Ticket> missing = new TreeMap<>();
        for (EffectiveGroup group : state.effectiveGroups()) {
            String name = group.content().group();
            boolean concerns = held.containsKey(name) || group.content().vms().contains(reported.getVm());
            if (concerns && TicketFrames.isOlder(held.get(name), group.ticket())) {
                missing.put(group.ticket().number(), group.ticket());
            }
        }
        List<Peer> peers = peersOf(reported.getVm());
        if (missing.isEmpty() && peers.equals(push.peers)) {
            return;
        }
        if (link.send(TicketFrames.delivery(List.copyOf(missing.values()), peers))) {
            push.peers = peers;
        }
    }

    private List<Peer> peersOf(String vm) {
        Optional<EffectiveGroup> group = state.groupOf(vm);
        if (group.isEmpty()) {
            return List.of();
        }
        return group.get().content().vms().stream()
                .filter(name -> !slots.isDown(name))
                .flatMap(name -> fleet.find(name).stream())
                .map(TicketController::peer)
                .toList();
    }

    private static Peer peer(Vm vm) {
        return Peer.newBuilder()
                .setVm(vm.name())
                .setAddress(vm.address())
                .setWirePort(vm.wirePort())
                .setRegion(vm.region())
                .setFailureDomain(vm.failureDomain())
                .build();
    }

    /** What was last heard from and sent to a slot process. */
    private static final class SlotPush {
        private SlotState state = SlotState.getDefaultInstance();
        private List<Peer> peers = List.of();
    }
}

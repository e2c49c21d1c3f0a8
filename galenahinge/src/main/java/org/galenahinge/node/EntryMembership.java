package org.galenahinge.node;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.galenahinge.concurrent.Timers;
import org.galenahinge.http.CompleteResponse;
import org.galenahinge.http.Exchange;
import org.galenahinge.log.EventLog;
import org.galenahinge.log.EventLog.Category;
import org.galenahinge.membership.MemberState;
import org.galenahinge.membership.MemberState.Status;
import org.galenahinge.membership.MembershipMessages.Outgoing;
import org.galenahinge.membership.MembershipProtocol;
import org.galenahinge.membership.MembershipProtocol.Timing;
import org.galenahinge.wire.DatagramNetwork;
import org.galenahinge.wire.MembershipCodec;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** Tracks which entries are up, through pings between entries. Must be used on one network thread. */
final class EntryMembership {
    /** A dead entry is no longer used within about two seconds, at the cost of about one kilobyte per second. */
    static final Timing TIMING = new Timing(
            Duration.ofMillis(500),
            Duration.ofMillis(180),
            Duration.ofSeconds(2),
            Duration.ofMinutes(2),
            Duration.ofSeconds(2));

    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    private static final Duration DISCOVERY_INTERVAL_ALONE = Duration.ofMillis(250);
    private static final Duration DISCOVERY_INTERVAL = Duration.ofSeconds(4);
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofSeconds(1);
    private static final Duration DISCOVERY_TIMEOUT = Duration.ofMillis(500);
    private static final Duration SETTLE_TIME = Duration.ofMillis(400);
    private static final Duration SETTLE_TIME_WHEN_ALONE = Duration.ofMillis(1_200);
    private static final long MAXIMUM_MEMBERS_BYTES = 1 << 20;

    /** First line of a list that its receiver may rely on. It is no address, so that receivers otherwise ignore it. */
    private static final String SETTLED_LINE = "settled";

    private final NodeAddress self;
    private final MembershipProtocol core;
    private final EntryRoster roster;
    private final Timers timers;
    private final EventLog log;
    private final Runnable onRosterChange;
    private final ConfirmedEntries confirmed;
    private final Map<String, Status> loggedStatuses = new HashMap<>();
    private List<WireAddress> seeds;
    private final Random random;
    private NetworkThreads threads;
    private DatagramNetwork network;
    private List<UpMember> upMembers = List.of();
    private long changesInRoster = -1;
    private boolean outOfTouch;
    private boolean joined;
    private boolean left;
    private long joinedNanos;

    EntryMembership(
            NodeAddress self,
            List<WireAddress> seeds,
            EntryRoster roster,
            Timers timers,
            EventLog log,
            Runnable onRosterChange,
            long seed) {
        this.seeds = List.copyOf(seeds);
        this.random = new Random(seed);
        this.self = Objects.requireNonNull(self, "self");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.log = Objects.requireNonNull(log, "log");
        this.onRosterChange = Objects.requireNonNull(onRosterChange, "onRosterChange");
        this.confirmed = new ConfirmedEntries(timers);
        this.core = MembershipProtocol.create(self.text(), TIMING, seed, timers.nanoTime());
    }

    void listen(NetworkThreads newThreads, WireAddress address, MetricRegistry metrics) throws IOException {
        threads = newThreads;
        network = DatagramNetwork.listen(threads, address, metrics, MembershipCodec::read, this::received);
        metrics.gauge("membership.up", () -> () -> roster.up().size());
        metrics.gauge("membership.confirmed", () -> () -> confirmedUp().size());
    }

    /** Adds entries that another node knows, as the text of their addresses. Does nothing before {@link #join}. */
    void addDiscovered(Collection<String> addresses) {
        if (!joined) {
            return;
        }
        List<String> usable = addresses.stream()
                .filter(text -> NodeAddress.parse(text).isPresent())
                .toList();
        core.addMembers(usable, timers.nanoTime());
        updateRoster();
    }

    /** Replaces the seeds. */
    void setSeeds(List<WireAddress> newSeeds) {
        seeds = List.copyOf(newSeeds);
    }

    /** Starts pinging other entries, which makes this entry known to them. Called once this entry can serve. */
    void join() {
        if (joined) {
            return;
        }
        joined = true;
        joinedNanos = timers.nanoTime();
        confirmed.begin();
        tick();
        discover();
        timers.schedule(CONFIRMATION_INTERVAL, this::confirm);
    }

    /** Tells whether this entry has been a member for long enough to know most of the others. */
    boolean isSettled() {
        long since = timers.nanoTime() - joinedNanos;
        Duration settleTime = roster.up().size() < 2 ? SETTLE_TIME_WHEN_ALONE : SETTLE_TIME;
        return joined && since > settleTime.toNanos();
    }

    /**
     * Responds to a discovery request, and adds its sender.
     *
     * @param sender the sender's address as text; empty text when it does not give one
     * @return the addresses of the entries that are up, as text, one per line; after a first line that says so, only those
     *     of which this entry has evidence
     */
    String handleDiscovery(String sender) {
        if (joined && NodeAddress.parse(sender).isPresent()) {
            addDiscovered(List.of(sender));
        }
        observe();
        if (!joined || !confirmed.isSettled()) {
            return lines(roster.up());
        }
        return SETTLED_LINE + "\n" + lines(confirmedUp());
    }

    /** Returns the entries that may be named to callers: this one, unless it has left, and those that are confirmed. */
    List<NodeAddress> confirmedUp() {
        observe();
        List<NodeAddress> named = new ArrayList<>();
        if (joined && !left) {
            named.add(self);
        }
        upMembers.stream()
                .filter(member -> confirmed.isConfirmed(member.text()))
                .map(UpMember::address)
                .forEach(named::add);
        return named;
    }

    private static String lines(List<NodeAddress> entries) {
        return entries.stream().map(NodeAddress::text).collect(Collectors.joining("\n"));
    }

    private void observe() {
        if (joined && confirmed.observe()) {
            log.event(Category.BELIEF, "entries_unconfirmed")
                    .with("cause", "suspended")
                    .write();
        }
    }

    /** Asks other entries for their lists at short intervals while this one has not been in touch for long. */
    private void confirm() {
        if (left) {
            return;
        }
        observe();
        if (!confirmed.isSettled()) {
            requestMembersOfAnyOther();
        }
        timers.schedule(CONFIRMATION_INTERVAL, this::confirm);
    }

    private void requestMembersOfAnyOther() {
        List<NodeAddress> others =
                roster.up().stream().filter(entry -> !entry.equals(self)).toList();
        if (!others.isEmpty()) {
            requestMembers(others.get(random.nextInt(others.size())).nodes());
        }
    }

    private void listReceived(List<String> list, long askedNanos) {
        observe();
        addDiscovered(list);
        boolean isSettled = !list.isEmpty() && list.get(0).equals(SETTLED_LINE);
        if (isSettled) {
            Set<String> up = roster.up().stream().map(NodeAddress::text).collect(Collectors.toSet());
            confirmed.listed(list.stream().filter(up::contains).toList(), askedNanos);
        }
    }

    /**
     * Requests the known entries from a random seed: often while this entry is alone, and at a longer interval
     * afterwards, so that groups that do not know each other merge.
     */
    private void discover() {
        if (left) {
            return;
        }
        List<WireAddress> others =
                seeds.stream().filter(seed -> !seed.equals(self.nodes())).toList();
        boolean alone = roster.up().size() < 2;
        if (!others.isEmpty()) {
            requestMembers(others.get(random.nextInt(others.size())));
        }
        timers.schedule(alone ? DISCOVERY_INTERVAL_ALONE : DISCOVERY_INTERVAL, this::discover);
    }

    private void requestMembers(WireAddress other) {
        long askedNanos = timers.nanoTime();
        String path = "/members?card=" + URLEncoder.encode(self.text(), StandardCharsets.UTF_8);
        CompleteResponse.fetch(
                        threads,
                        other.toHttpUri(),
                        Exchange.Request.get(path),
                        DISCOVERY_TIMEOUT,
                        MAXIMUM_MEMBERS_BYTES)
                .whenComplete((response, error) -> {
                    if (error == null && response.status() == 200) {
                        String addresses = new String(response.body(), StandardCharsets.UTF_8);
                        listReceived(addresses.lines().toList(), askedNanos);
                        return;
                    }
                    log.event(Category.LIFECYCLE, "discovery_failed")
                            .with("node", other.toString())
                            .with(
                                    "detail",
                                    error == null ? "status " + response.status() : String.valueOf(error.getMessage()))
                            .write();
                });
    }

    /** Announces to the other entries that this one leaves. */
    void leave() {
        left = true;
        send(core.leave());
        rebuildRoster();
    }

    /**
     * Returns the number of entries that share the retry budgets: this one and all known ones, also suspect and dead
     * ones.
     */
    int memberCount() {
        return core.members().size() + 1;
    }

    private void tick() {
        observe();
        send(core.tick(timers.nanoTime()));
        observeTouch();
        updateRoster();
        timers.schedule(TICK_INTERVAL, this::tick);
    }

    private void observeTouch() {
        if (core.isOutOfTouch()) {
            confirmed.outOfTouch();
        }
        if (core.isOutOfTouch() && !outOfTouch) {
            log.event(Category.BELIEF, "entries_unconfirmed")
                    .with("cause", "pings_failed")
                    .write();
        }
        outOfTouch = core.isOutOfTouch();
    }

    private void received(MembershipCodec.Received received) {
        if (!joined || NodeAddress.parse(received.sender()).isEmpty()) {
            return;
        }
        observe();
        confirmed.heard(received.sender());
        send(core.receive(received.sender(), received.message(), timers.nanoTime()));
        updateRoster();
    }

    private void send(List<Outgoing> messages) {
        for (Outgoing outgoing : messages) {
            NodeAddress.parse(outgoing.to())
                    .ifPresent(entry ->
                            network.send(entry.membership(), MembershipCodec.write(self.text(), outgoing.message())));
        }
    }

    /** Does nothing while the members are as they were: most messages and ticks change none. */
    private void updateRoster() {
        if (changesInRoster != core.changes()) {
            rebuildRoster();
        }
    }

    private void rebuildRoster() {
        changesInRoster = core.changes();
        List<NodeAddress> up = new ArrayList<>();
        List<UpMember> members = new ArrayList<>();
        if (joined && !left) {
            up.add(self);
        }
        for (MemberState member : core.members()) {
            NodeAddress entry = NodeAddress.parse(member.vm()).orElseThrow();
            logStatusChange(entry, member);
            if (member.isUsable()) {
                up.add(entry);
                members.add(new UpMember(entry, member.vm()));
            }
        }
        upMembers = List.copyOf(members);
        confirmed.retain(core.members().stream().map(MemberState::vm).collect(Collectors.toSet()));
        List<NodeAddress> before = roster.up();
        roster.update(up);
        if (!before.equals(roster.up())) {
            onRosterChange.run();
        }
    }

    /** An entry that counts as up; the text of its address is its name as a member. */
    private record UpMember(NodeAddress address, String text) {}

    private void logStatusChange(NodeAddress entry, MemberState member) {
        Status before = loggedStatuses.put(entry.name(), member.status());
        if (before == member.status()) {
            return;
        }
        log.event(Category.BELIEF, "entry_" + member.status().name().toLowerCase(Locale.ROOT))
                .with("entry", entry.name())
                .with("zone", entry.zone())
                .with("number", member.stateVersion())
                .with("before", before == null ? "unknown" : before.name())
                .write();
    }
}

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

/** Finds out which entries are up, by pings among them. Belongs to one network thread. */
final class EntryMembership {
    /** A dead entry is out of use within about two seconds, at about a kilobyte a second. */
    static final Timing TIMING = new Timing(
            Duration.ofMillis(500),
            Duration.ofMillis(180),
            Duration.ofSeconds(2),
            Duration.ofMinutes(2),
            Duration.ofSeconds(2));

    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration DISCOVER_ALONE_EVERY = Duration.ofMillis(250);
    private static final Duration DISCOVER_EVERY = Duration.ofSeconds(4);
    private static final Duration DISCOVERY_WITHIN = Duration.ofMillis(500);
    private static final Duration SETTLED_AFTER = Duration.ofMillis(400);
    private static final Duration SETTLED_ALONE_AFTER = Duration.ofMillis(1_200);
    private static final long MAXIMUM_MEMBERS_BYTES = 1 << 20;

    private final NodeCard self;
    private final MembershipProtocol core;
    private final EntryRoster roster;
    private final Timers timers;
    private final EventLog log;
    private final Runnable changed;
    private final Map<String, Status> told = new HashMap<>();
    private List<WireAddress> seeds;
    private final Random random;
    private NetworkThreads threads;
    private DatagramNetwork network;
    private boolean joined;
    private boolean left;
    private long joinedNanos;

    EntryMembership(
            NodeCard self,
            List<WireAddress> seeds,
            EntryRoster roster,
            Timers timers,
            EventLog log,
            Runnable changed,
            long seed) {
        this.seeds = List.copyOf(seeds);
        this.random = new Random(seed);
        this.self = Objects.requireNonNull(self, "self");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.log = Objects.requireNonNull(log, "log");
        this.changed = Objects.requireNonNull(changed, "changed");
        this.core = MembershipProtocol.create(self.text(), TIMING, seed, timers.nanoTime());
    }

    void listen(NetworkThreads newThreads, WireAddress address, MetricRegistry metrics) throws IOException {
        threads = newThreads;
        network = DatagramNetwork.listen(threads, address, metrics, MembershipCodec::read, this::received);
        metrics.gauge("membership.up", () -> () -> roster.up().size());
    }

    /** Takes in entries that another node knows. */
    void introduced(Collection<String> cards) {
        if (!joined) {
            return;
        }
        List<String> usable =
                cards.stream().filter(card -> NodeCard.parse(card).isPresent()).toList();
        core.addMembers(usable, timers.nanoTime());
        publish();
    }

    /** Takes in where some entries may be found now. */
    void reseed(List<WireAddress> newSeeds) {
        seeds = List.copyOf(newSeeds);
    }

    /** Begins to ping, and so to be known: once this node can serve. */
    void join() {
        if (joined) {
            return;
        }
        joined = true;
        joinedNanos = timers.nanoTime();
        tick();
        discover();
    }

    /** Whether this node has been among the others for long enough to know most of them. */
    boolean isSettled() {
        long since = timers.nanoTime() - joinedNanos;
        Duration enough = roster.up().size() < 2 ? SETTLED_ALONE_AFTER : SETTLED_AFTER;
        return joined && since > enough.toNanos();
    }

    /**
     * Answers an entry that asks who is there, and takes it in.
     *
     * @param card the card of the one that asks; empty text when it does not say
     * @return the cards known to be up, a line each
     */
    String answerDiscovery(String card) {
        if (joined && NodeCard.parse(card).isPresent()) {
            introduced(List.of(card));
        }
        return roster.up().stream().map(NodeCard::text).collect(Collectors.joining("\n"));
    }

    /** Asks a seed or another entry who is there: often while alone, and now and then, so that split groups meet. */
    private void discover() {
        if (left) {
            return;
        }
        List<WireAddress> others =
                seeds.stream().filter(seed -> !seed.equals(self.nodes())).toList();
        boolean alone = roster.up().size() < 2;
        if (!others.isEmpty()) {
            ask(others.get(random.nextInt(others.size())));
        }
        timers.schedule(alone ? DISCOVER_ALONE_EVERY : DISCOVER_EVERY, this::discover);
    }

    private void ask(WireAddress other) {
        String path = "/members?card=" + URLEncoder.encode(self.text(), StandardCharsets.UTF_8);
        CompleteResponse.fetch(
                        threads, other.toHttpUri(), Exchange.Request.get(path), DISCOVERY_WITHIN, MAXIMUM_MEMBERS_BYTES)
                .whenComplete((answer, error) -> {
                    if (error == null && answer.status() == 200) {
                        String cards = new String(answer.body(), StandardCharsets.UTF_8);
                        introduced(cards.lines().toList());
                        return;
                    }
                    log.event(Category.LIFECYCLE, "discovery_failed")
                            .with("node", other.toString())
                            .with(
                                    "detail",
                                    error == null ? "status " + answer.status() : String.valueOf(error.getMessage()))
                            .write();
                });
    }

    /** Tells the others that this node leaves. */
    void leave() {
        left = true;
        send(core.leave());
        publish();
    }

    /** How many entries share the budgets: those that may be up, the suspects and the dead included. */
    int known() {
        return core.members().size() + 1;
    }

    private void tick() {
        send(core.tick(timers.nanoTime()));
        publish();
        timers.schedule(TICK, this::tick);
    }

    private void received(MembershipCodec.Received received) {
        if (!joined || NodeCard.parse(received.sender()).isEmpty()) {
            return;
        }
        send(core.receive(received.sender(), received.message(), timers.nanoTime()));
        publish();
    }

    private void send(List<Outgoing> messages) {
        for (Outgoing outgoing : messages) {
            NodeCard.parse(outgoing.to())
                    .ifPresent(card ->
                            network.send(card.membership(), MembershipCodec.write(self.text(), outgoing.message())));
        }
    }

    private void publish() {
        List<NodeCard> up = new ArrayList<>();
        if (joined && !left) {
            up.add(self);
        }
        for (MemberState member : core.members()) {
            NodeCard card = NodeCard.parse(member.vm()).orElseThrow();
            tell(card, member);
            if (member.isUsable()) {
                up.add(card);
            }
        }
        List<NodeCard> before = roster.up();
        roster.update(up);
        if (!before.equals(roster.up())) {
            changed.run();
        }
    }

    private void tell(NodeCard card, MemberState member) {
        Status before = told.put(card.name(), member.status());
        if (before == member.status()) {
            return;
        }
        log.event(Category.BELIEF, "entry_" + member.status().name().toLowerCase(Locale.ROOT))
                .with("entry", card.name())
                .with("zone", card.zone())
                .with("number", member.stateVersion())
                .with("before", before == null ? "unknown" : before.name())
                .write();
    }
}

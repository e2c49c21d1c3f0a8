package org.galenahinge.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.galenahinge.membership.MemberState.Status;
import org.galenahinge.membership.MembershipMessages.Acknowledgement;
import org.galenahinge.membership.MembershipMessages.IndirectPing;
import org.galenahinge.membership.MembershipMessages.Notice;
import org.galenahinge.membership.MembershipMessages.Outgoing;
import org.galenahinge.membership.MembershipMessages.Ping;

/**
 * Detects which members are up, in the style of SWIM: pings one member at a time, asks others to ping a member that
 * does not reply, then suspects it, and declares it dead unless it refutes the suspicion in time. Deterministic: the
 * time is a parameter and the random choices are seeded.
 *
 * <p>Not thread-safe. Cost: one ping and its acknowledgement each interval whatever the number of members, at most
 * {@value #MAXIMUM_UPDATES} updates in each message, O(log members) transmissions of each update; memory O(members).
 */
public final class MembershipProtocol {
    /** The maximum number of updates in one message. */
    public static final int MAXIMUM_UPDATES = 6;

    /** How many members are asked to ping one that does not reply. */
    private static final int INDIRECT_PINGS = 3;

    /** How many members get a notice when this one leaves. */
    private static final int LEAVE_NOTICES = 5;

    /** How often an update is sent, as a multiple of the logarithm of the number of members. */
    private static final int TRANSMISSION_FACTOR = 3;

    /** The number of latest pings of members that count as alive which are looked at together, as the bits of a number. */
    private static final int PROBE_HISTORY_MASK = 0xFF;

    /** So many failed pings among these are more than the end of single members explains. */
    private static final int FAILED_PROBES_OUT_OF_TOUCH = 3;

    private final String self;
    private final Timing timing;
    private final Random random;
    private final Map<String, MemberState> members = new TreeMap<>();
    private final Map<String, Integer> transmissionsLeft = new HashMap<>();
    private final Map<Long, RelayedPing> relayedPings = new HashMap<>();
    private final List<String> probeQueue = new ArrayList<>();
    private Optional<Probe> probe = Optional.empty();
    private int failedProbes;
    private long ownStateVersion;
    private long changes;
    private long nextSequence = 1;
    private long nextProbeNanos;
    private long lastTickNanos;
    private boolean rejoining;
    private boolean leaving;

    private MembershipProtocol(String self, Timing timing, long seed, long nowNanos) {
        this.self = self;
        this.timing = timing;
        this.random = new Random(seed);
        this.nextProbeNanos = nowNanos;
        this.lastTickNanos = nowNanos;
        this.rejoining = true;
    }

    /**
     * Creates the protocol state of a member that knows no other members. Its state version starts at 0, as that of
     * every listed member does. If others hold an earlier process of its VM for dead, it learns this from the first
     * ping and takes the next state version.
     *
     * @param self the name of the local VM
     * @param timing the intervals and timeouts
     * @param seed the seed of the random choices
     * @param nowNanos the current time, in nanoseconds
     * @return the protocol state
     */
    public static MembershipProtocol create(String self, Timing timing, long seed, long nowNanos) {
        return new MembershipProtocol(
                Objects.requireNonNull(self, "self"), Objects.requireNonNull(timing, "timing"), seed, nowNanos);
    }

    /**
     * Intervals and timeouts of the protocol.
     *
     * @param probeInterval the interval between two pings
     * @param acknowledgementTimeout how long to wait for an acknowledgement before others are asked to ping
     * @param suspicionTimeout how long a suspect has to refute when there are few members; it grows with the logarithm
     *     of their number
     * @param retainLeftFor how long a member that left is remembered
     * @param pauseThreshold the time without a tick after which the local state counts as stale
     */
    public record Timing(
            Duration probeInterval,
            Duration acknowledgementTimeout,
            Duration suspicionTimeout,
            Duration retainLeftFor,
            Duration pauseThreshold) {
        /** The timing for entries: finds dead members within seconds, at about 400 bytes per second. */
        public static final Timing STANDARD = new Timing(
                Duration.ofSeconds(1),
                Duration.ofMillis(300),
                Duration.ofSeconds(3),
                Duration.ofMinutes(10),
                Duration.ofSeconds(4));
    }

    /**
     * Sets the members that the platform lists. A member that is not listed is forgotten; a new one counts as alive
     * until it is found unresponsive.
     *
     * @param names the VMs of the members; the local VM is ignored
     * @param nowNanos the current time, in nanoseconds
     */
    public void setListedMembers(Collection<String> names, long nowNanos) {
        changes += members.keySet().retainAll(names) ? 1 : 0;
        transmissionsLeft.keySet().retainAll(names);
        names.forEach(name -> addMember(name, nowNanos));
    }

    /**
     * Adds members that were discovered by other means than the platform's list. Known members keep their state.
     *
     * @param names the VMs of the members; the local VM is ignored
     * @param nowNanos the current time, in nanoseconds
     */
    public void addMembers(Collection<String> names, long nowNanos) {
        names.forEach(name -> addMember(name, nowNanos));
    }

    private void addMember(String name, long nowNanos) {
        if (!name.equals(self) && !members.containsKey(name)) {
            members.put(name, new MemberState(name, 0, Status.ALIVE, nowNanos));
            changes++;
        }
    }

    /**
     * Returns the pings that are due and expires old states. Call it several times per probe interval.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the messages to send
     */
    public List<Outgoing> tick(long nowNanos) {
        detectPause(nowNanos);
        List<Outgoing> out = new ArrayList<>();
        sendIndirectPings(nowNanos, out);
        if (nowNanos - nextProbeNanos >= 0) {
            endProbe(nowNanos, out);
            nextProbeNanos = nowNanos + timing.probeInterval().toNanos();
            startProbe(nowNanos, out);
        }
        expireStates(nowNanos);
        relayedPings
                .values()
                .removeIf(relayed -> nowNanos - relayed.startedNanos()
                        > timing.probeInterval().toNanos());
        return out;
    }

    /**
     * Handles a message of another member.
     *
     * @param from the sender
     * @param message the message
     * @param nowNanos the current time, in nanoseconds
     * @return the messages to send
     */
    public List<Outgoing> receive(String from, MembershipMessages message, long nowNanos) {
        long stateVersionBefore = ownStateVersion;
        message.updates().forEach(update -> applyUpdate(update, nowNanos));
        List<Outgoing> out = new ArrayList<>();
        if (ownStateVersion != stateVersionBefore && message instanceof Notice) {
            out.add(new Outgoing(from, new Notice(updatesFor(from))));
        }
        if (message instanceof Ping ping) {
            out.add(new Outgoing(from, new Acknowledgement(ping.sequence(), self, updatesFor(from))));
        } else if (message instanceof Acknowledgement acknowledgement) {
            handleAcknowledgement(acknowledgement, out);
        } else if (message instanceof IndirectPing indirect) {
            long sequence = nextSequence++;
            relayedPings.put(sequence, new RelayedPing(from, indirect.sequence(), nowNanos));
            out.add(new Outgoing(indirect.subject(), new Ping(sequence, updatesFor(indirect.subject()))));
        }
        return out;
    }

    /**
     * Announces that this member leaves.
     *
     * @return the messages to send
     */
    public List<Outgoing> leave() {
        leaving = true;
        List<MemberState> notice = List.of(new MemberState(self, ownStateVersion, Status.LEFT, 0));
        return shuffledUsableMembers().stream()
                .limit(LEAVE_NOTICES)
                .map(vm -> new Outgoing(vm, new Notice(notice)))
                .toList();
    }

    /**
     * Returns how often a member was added or removed or its state changed, so that a caller that derives something from
     * all members need not look at them again.
     *
     * @return a number that grows with each change
     */
    public long changes() {
        return changes;
    }

    /**
     * Returns the states of all other members.
     *
     * @return a copy, sorted by name
     */
    public List<MemberState> members() {
        return List.copyOf(members.values());
    }

    /**
     * Finds another member.
     *
     * @param vm the VM of the member
     * @return its state, or empty if the member is unknown
     */
    public Optional<MemberState> find(String vm) {
        return Optional.ofNullable(members.get(vm));
    }

    /**
     * Returns whether the local state is stale: after the start and after a long pause, until another member
     * acknowledges a ping. No member is declared dead meanwhile.
     *
     * @return whether decisions must not rely on the local state yet
     */
    public boolean isRejoining() {
        return rejoining;
    }

    /**
     * Returns whether so many of the latest pings of members that count as alive failed that this member may have lost touch
     * with the others. Others may then have ended without notice here.
     *
     * @return whether pings of several such members failed
     */
    public boolean isOutOfTouch() {
        return Integer.bitCount(failedProbes) >= FAILED_PROBES_OUT_OF_TOUCH;
    }

    private void recordProbe(boolean failed) {
        failedProbes = (failedProbes << 1 | (failed ? 1 : 0)) & PROBE_HISTORY_MASK;
    }

    private void detectPause(long nowNanos) {
        if (nowNanos - lastTickNanos > timing.pauseThreshold().toNanos()) {
            rejoining = true;
            probe = Optional.empty();
            // Suspects may have been up throughout the pause, so their suspicion timeout starts again.
            members.replaceAll((vm, member) -> member.status() == Status.SUSPECT
                    ? new MemberState(vm, member.stateVersion(), Status.SUSPECT, nowNanos)
                    : member);
        }
        lastTickNanos = nowNanos;
    }

    private void startProbe(long nowNanos, List<Outgoing> out) {
        Optional<String> target = nextTarget();
        if (target.isEmpty()) {
            return;
        }
        long sequence = nextSequence++;
        probe = Optional.of(new Probe(target.get(), sequence, nowNanos, false));
        out.add(new Outgoing(target.get(), new Ping(sequence, updatesFor(target.get()))));
    }

    /**
     * Returns the next member to ping. All members are pinged in random order before the next round starts, dead ones
     * too, so that they can return.
     */
    private Optional<String> nextTarget() {
        while (true) {
            if (probeQueue.isEmpty()) {
                members.values().stream()
                        .filter(member -> member.status() != Status.LEFT)
                        .forEach(member -> probeQueue.add(member.vm()));
                Collections.shuffle(probeQueue, random);
            }
            if (probeQueue.isEmpty()) {
                return Optional.empty();
            }
            String target = probeQueue.remove(probeQueue.size() - 1);
            if (members.containsKey(target)) {
                return Optional.of(target);
            }
        }
    }

    private void sendIndirectPings(long nowNanos, List<Outgoing> out) {
        boolean late = probe.filter(open -> !open.indirectSent()
                        && nowNanos - open.startedNanos()
                                >= timing.acknowledgementTimeout().toNanos())
                .isPresent();
        if (!late) {
            return;
        }
        Probe open = probe.get();
        probe = Optional.of(new Probe(open.target(), open.sequence(), open.startedNanos(), true));
        shuffledUsableMembers().stream()
                .filter(vm -> !vm.equals(open.target()))
                .limit(INDIRECT_PINGS)
                .forEach(helper -> out.add(
                        new Outgoing(helper, new IndirectPing(open.sequence(), open.target(), updatesFor(helper)))));
    }

    private void endProbe(long nowNanos, List<Outgoing> out) {
        if (probe.isEmpty()) {
            return;
        }
        MemberState member = members.get(probe.get().target());
        probe = Optional.empty();
        if (member != null && member.status() == Status.ALIVE) {
            recordProbe(true);
            MemberState suspect = new MemberState(member.vm(), member.stateVersion(), Status.SUSPECT, nowNanos);
            setState(suspect);
            // Notifies the suspect at once, so that its refutation spreads as early as the suspicion does.
            out.add(new Outgoing(suspect.vm(), new Notice(List.of(suspect))));
        }
    }

    private void handleAcknowledgement(Acknowledgement acknowledgement, List<Outgoing> out) {
        rejoining = false;
        RelayedPing relayed = relayedPings.remove(acknowledgement.sequence());
        if (relayed != null) {
            out.add(new Outgoing(
                    relayed.requester(),
                    new Acknowledgement(
                            relayed.sequence(), acknowledgement.subject(), updatesFor(relayed.requester()))));
            return;
        }
        if (probe.filter(open -> open.sequence() == acknowledgement.sequence()).isPresent()) {
            recordProbe(false);
            probe = Optional.empty();
        }
    }

    private void expireStates(long nowNanos) {
        long timeoutNanos = suspicionTimeoutNanos();
        for (MemberState member : List.copyOf(members.values())) {
            long ageNanos = nowNanos - member.changedNanos();
            if (member.status() == Status.SUSPECT && ageNanos > timeoutNanos && !rejoining) {
                setState(new MemberState(member.vm(), member.stateVersion(), Status.DEAD, nowNanos));
            } else if (member.status() == Status.LEFT
                    && ageNanos > timing.retainLeftFor().toNanos()) {
                members.remove(member.vm());
                changes++;
            }
        }
    }

    /**
     * Grows with the logarithm of the number of members, as does the time that a refutation takes to reach them all.
     */
    private long suspicionTimeoutNanos() {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(members.size());
        return timing.suspicionTimeout().toNanos() * Math.max(2, doublings) / 2;
    }

    private void applyUpdate(MemberState update, long nowNanos) {
        if (update.vm().equals(self)) {
            refute(update);
            return;
        }
        MemberState known = members.get(update.vm());
        if (known == null || update.supersedes(known)) {
            setState(new MemberState(update.vm(), update.stateVersion(), update.status(), nowNanos));
        }
    }

    private void refute(MemberState claim) {
        boolean refutable = claim.status() != Status.ALIVE && !leaving;
        if (claim.stateVersion() > ownStateVersion || (refutable && claim.stateVersion() == ownStateVersion)) {
            ownStateVersion = claim.stateVersion() + 1;
            transmissionsLeft.put(self, transmissionsPerUpdate());
        }
    }

    private void setState(MemberState member) {
        MemberState known = members.get(member.vm());
        if (known != null && known.stateVersion() > member.stateVersion()) {
            throw new IllegalStateException("the state version of member " + member.vm() + " decreased");
        }
        members.put(member.vm(), member);
        changes++;
        // A higher state version with the same status is not spread: it would delay updates that change a status.
        if (known == null || known.status() != member.status()) {
            transmissionsLeft.put(member.vm(), transmissionsPerUpdate());
        }
    }

    private int transmissionsPerUpdate() {
        return TRANSMISSION_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
    }

    /**
     * Returns the updates to send to a member: those sent least often so far, and always the status that the receiver
     * must refute if it is not alive.
     */
    private List<MemberState> updatesFor(String receiver) {
        List<MemberState> updates = new ArrayList<>();
        updates.add(new MemberState(self, ownStateVersion, leaving ? Status.LEFT : Status.ALIVE, 0));
        MemberState receiverState = members.get(receiver);
        if (receiverState != null && receiverState.status() != Status.ALIVE) {
            updates.add(receiverState);
        }
        List<String> leastSent = new ArrayList<>(transmissionsLeft.keySet());
        leastSent.sort(Comparator.comparingInt((String vm) -> -transmissionsLeft.get(vm))
                .thenComparing(vm -> vm));
        for (String vm : leastSent) {
            if (updates.size() >= MAXIMUM_UPDATES) {
                break;
            }
            MemberState member = members.get(vm);
            if (member != null && !vm.equals(receiver)) {
                updates.add(member);
            }
            transmissionsLeft.merge(vm, -1, (left, minusOne) -> left + minusOne <= 0 ? null : left + minusOne);
        }
        return updates;
    }

    private List<String> shuffledUsableMembers() {
        List<String> usable = new ArrayList<>();
        members.values().stream().filter(MemberState::isUsable).forEach(member -> usable.add(member.vm()));
        Collections.shuffle(usable, random);
        return usable;
    }

    private record Probe(String target, long sequence, long startedNanos, boolean indirectSent) {}

    private record RelayedPing(String requester, long sequence, long startedNanos) {}
}

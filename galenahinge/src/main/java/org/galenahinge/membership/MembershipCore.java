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
 * Decides which members are up: pings one member at a time, asks others to ping a silent one, then suspects it, and lets
 * it refute. Time is a parameter and all that is random is seeded.
 *
 * <p>Belongs to one thread. Cost: one ping and its acknowledgement each interval, at most {@value #UPDATES_CARRIED}
 * updates in each message and O(log members) repeats of each update, whatever the number of members; memory O(members).
 */
public final class MembershipCore {
    /** The most updates that one message carries. */
    public static final int UPDATES_CARRIED = 6;

    private static final int HELPERS = 3;
    private static final int LEAVE_NOTICES = 5;
    private static final int REPEAT_FACTOR = 3;

    private final String self;
    private final Timing timing;
    private final Random random;
    private final Map<String, MemberState> members = new TreeMap<>();
    private final Map<String, Integer> repeatsLeft = new HashMap<>();
    private final Map<Long, Helped> helped = new HashMap<>();
    private final List<String> round = new ArrayList<>();
    private Optional<Probe> probe = Optional.empty();
    private long ownNumber;
    private long nextSequence = 1;
    private long nextProbeNanos;
    private long lastTickNanos;
    private boolean rejoining;
    private boolean leaving;

    private MembershipCore(String self, Timing timing, long seed, long nowNanos) {
        this.self = self;
        this.timing = timing;
        this.random = new Random(seed);
        this.nextProbeNanos = nowNanos;
        this.lastTickNanos = nowNanos;
        this.rejoining = true;
    }

    /**
     * Creates a member that knows nobody. Its number begins at 0, as that of every listed member does; where others
     * hold an earlier process of its VM for dead, it hears so with the first ping and takes the next number.
     *
     * @param self the own VM's name
     * @param timing how often and how long
     * @param seed the seed of all that is random
     * @param nowNanos the time, in nanoseconds
     * @return the member
     */
    public static MembershipCore create(String self, Timing timing, long seed, long nowNanos) {
        return new MembershipCore(
                Objects.requireNonNull(self, "self"), Objects.requireNonNull(timing, "timing"), seed, nowNanos);
    }

    /**
     * How often and how long.
     *
     * @param probeEvery the interval between two pings
     * @param answerWithin how long to wait for an acknowledgement before others are asked
     * @param suspectFor how long a suspect has to refute among four members; with more it has longer
     * @param forgetAfter how long a dead member is remembered
     * @param pauseAfter how long without a tick before the own knowledge is taken to be stale
     */
    public record Timing(
            Duration probeEvery,
            Duration answerWithin,
            Duration suspectFor,
            Duration forgetAfter,
            Duration pauseAfter) {
        /** The timing for entries: the dead are found in seconds, at about 400 bytes a second. */
        public static final Timing STANDARD = new Timing(
                Duration.ofSeconds(1),
                Duration.ofMillis(300),
                Duration.ofSeconds(3),
                Duration.ofMinutes(10),
                Duration.ofSeconds(4));
    }

    /**
     * Takes in the members that the platform lists. A member that is not listed is forgotten; one that is new counts as
     * alive until it is found silent.
     *
     * @param names the members' VMs
     * @param nowNanos the time, in nanoseconds
     */
    public void listed(Collection<String> names, long nowNanos) {
        members.keySet().retainAll(names);
        repeatsLeft.keySet().retainAll(names);
        for (String name : names) {
            if (!name.equals(self)) {
                members.computeIfAbsent(name, vm -> new MemberState(vm, 0, Status.ALIVE, nowNanos));
            }
        }
    }

    /**
     * Takes in members that were heard of elsewhere; those already known stay as they are.
     *
     * @param names the members' VMs
     * @param nowNanos the time, in nanoseconds
     */
    public void introduced(Collection<String> names, long nowNanos) {
        for (String name : names) {
            if (!name.equals(self)) {
                members.computeIfAbsent(name, vm -> new MemberState(vm, 0, Status.ALIVE, nowNanos));
            }
        }
    }

    /**
     * Does what is due.
     *
     * @param nowNanos the time, in nanoseconds
     * @return the messages to send
     */
    public List<Outgoing> tick(long nowNanos) {
        noticePause(nowNanos);
        List<Outgoing> out = new ArrayList<>();
        askHelpers(nowNanos, out);
        if (nowNanos - nextProbeNanos >= 0) {
            endProbe(nowNanos, out);
            nextProbeNanos = nowNanos + timing.probeEvery().toNanos();
            startProbe(nowNanos, out);
        }
        expire(nowNanos);
        helped.values()
                .removeIf(help ->
                        nowNanos - help.sinceNanos() > timing.probeEvery().toNanos());
        return out;
    }

    /**
     * Takes in a message.
     *
     * @param from the member that sent it
     * @param message the message
     * @param nowNanos the time, in nanoseconds
     * @return the messages to send
     */
    public List<Outgoing> received(String from, MembershipMessages message, long nowNanos) {
        long numberBefore = ownNumber;
        message.updates().forEach(update -> join(update, nowNanos));
        List<Outgoing> out = new ArrayList<>();
        if (ownNumber != numberBefore && message instanceof Notice) {
            out.add(new Outgoing(from, new Notice(updatesFor(from))));
        }
        if (message instanceof Ping ping) {
            out.add(new Outgoing(from, new Acknowledgement(ping.sequence(), self, updatesFor(from))));
        } else if (message instanceof Acknowledgement acknowledgement) {
            acknowledged(acknowledgement, out);
        } else if (message instanceof IndirectPing indirect) {
            long sequence = nextSequence++;
            helped.put(sequence, new Helped(from, indirect.sequence(), nowNanos));
            out.add(new Outgoing(indirect.subject(), new Ping(sequence, updatesFor(indirect.subject()))));
        }
        return out;
    }

    /**
     * Says that this member leaves.
     *
     * @return the messages to send
     */
    public List<Outgoing> leave() {
        leaving = true;
        List<MemberState> notice = List.of(new MemberState(self, ownNumber, Status.LEFT, 0));
        return shuffledUsable().stream()
                .limit(LEAVE_NOTICES)
                .map(vm -> new Outgoing(vm, new Notice(notice)))
                .toList();
    }

    /**
     * Returns what is known of every other member.
     *
     * @return a copy, sorted by name
     */
    public List<MemberState> members() {
        return List.copyOf(members.values());
    }

    /**
     * Finds a member.
     *
     * @param vm its VM
     * @return what is known of it
     */
    public Optional<MemberState> find(String vm) {
        return Optional.ofNullable(members.get(vm));
    }

    /**
     * Tells whether the own knowledge is stale: after the start and after a long pause, until another member answers.
     *
     * @return whether to decide nothing yet
     */
    public boolean isRejoining() {
        return rejoining;
    }

    private void noticePause(long nowNanos) {
        if (nowNanos - lastTickNanos > timing.pauseAfter().toNanos()) {
            rejoining = true;
            probe = Optional.empty();
            // Others may have been alive all the time: a suspect gets its whole time to refute again.
            members.replaceAll((vm, member) -> member.status() == Status.SUSPECT
                    ? new MemberState(vm, member.number(), Status.SUSPECT, nowNanos)
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

    /** Goes through all members in random order before it begins again; the dead are pinged too, so they can return. */
    private Optional<String> nextTarget() {
        while (true) {
            if (round.isEmpty()) {
                members.values().stream()
                        .filter(member -> member.status() != Status.LEFT)
                        .forEach(member -> round.add(member.vm()));
                Collections.shuffle(round, random);
            }
            if (round.isEmpty()) {
                return Optional.empty();
            }
            String target = round.remove(round.size() - 1);
            if (members.containsKey(target)) {
                return Optional.of(target);
            }
        }
    }

    private void askHelpers(long nowNanos, List<Outgoing> out) {
        boolean late = probe.filter(open -> !open.helpAsked()
                        && nowNanos - open.sinceNanos() >= timing.answerWithin().toNanos())
                .isPresent();
        if (!late) {
            return;
        }
        Probe open = probe.get();
        probe = Optional.of(new Probe(open.target(), open.sequence(), open.sinceNanos(), true));
        shuffledUsable().stream()
                .filter(vm -> !vm.equals(open.target()))
                .limit(HELPERS)
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
            MemberState suspect = new MemberState(member.vm(), member.number(), Status.SUSPECT, nowNanos);
            learn(suspect);
            // It hears of it at once, so that its answer spreads as early as the suspicion does.
            out.add(new Outgoing(suspect.vm(), new Notice(List.of(suspect))));
        }
    }

    private void acknowledged(Acknowledgement acknowledgement, List<Outgoing> out) {
        rejoining = false;
        Helped help = helped.remove(acknowledgement.sequence());
        if (help != null) {
            out.add(new Outgoing(
                    help.asker(),
                    new Acknowledgement(help.sequence(), acknowledgement.subject(), updatesFor(help.asker()))));
            return;
        }
        probe = probe.filter(open -> open.sequence() != acknowledgement.sequence());
    }

    private void expire(long nowNanos) {
        long suspectFor = suspectForNanos();
        for (MemberState member : List.copyOf(members.values())) {
            long age = nowNanos - member.sinceNanos();
            if (member.status() == Status.SUSPECT && age > suspectFor && !rejoining) {
                learn(new MemberState(member.vm(), member.number(), Status.DEAD, nowNanos));
            } else if (member.status() == Status.LEFT
                    && age > timing.forgetAfter().toNanos()) {
                members.remove(member.vm());
            }
        }
    }

    /** A refutation takes a number of intervals that grows with the logarithm of the members to reach them all. */
    private long suspectForNanos() {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(members.size());
        return timing.suspectFor().toNanos() * Math.max(2, doublings) / 2;
    }

    private void join(MemberState update, long nowNanos) {
        if (update.vm().equals(self)) {
            refute(update);
            return;
        }
        MemberState known = members.get(update.vm());
        if (known == null || update.supersedes(known)) {
            learn(new MemberState(update.vm(), update.number(), update.status(), nowNanos));
        }
    }

    private void refute(MemberState said) {
        boolean wrong = said.status() != Status.ALIVE && !leaving;
        if (said.number() > ownNumber || (wrong && said.number() == ownNumber)) {
            ownNumber = said.number() + 1;
            repeatsLeft.put(self, repeats());
        }
    }

    private void learn(MemberState member) {
        MemberState known = members.get(member.vm());
        if (known != null && known.number() > member.number()) {
            throw new IllegalStateException("the number of member " + member.vm() + " fell");
        }
        members.put(member.vm(), member);
        // A higher number alone changes nothing for others; repeating it would delay what does.
        if (known == null || known.status() != member.status()) {
            repeatsLeft.put(member.vm(), repeats());
        }
    }

    private int repeats() {
        return REPEAT_FACTOR * (Integer.SIZE - Integer.numberOfLeadingZeros(members.size() + 1));
    }

    /** The updates told least often so far; what the receiver is suspected of always goes along, so it can refute. */
    private List<MemberState> updatesFor(String receiver) {
        List<MemberState> updates = new ArrayList<>();
        updates.add(new MemberState(self, ownNumber, leaving ? Status.LEFT : Status.ALIVE, 0));
        MemberState heldOfReceiver = members.get(receiver);
        if (heldOfReceiver != null && heldOfReceiver.status() != Status.ALIVE) {
            updates.add(heldOfReceiver);
        }
        List<String> fresh = new ArrayList<>(repeatsLeft.keySet());
        fresh.sort(Comparator.comparingInt((String vm) -> -repeatsLeft.get(vm)).thenComparing(vm -> vm));
        for (String vm : fresh) {
            if (updates.size() >= UPDATES_CARRIED) {
                break;
            }
            MemberState member = members.get(vm);
            if (member != null && !vm.equals(receiver)) {
                updates.add(member);
            }
            repeatsLeft.merge(vm, -1, (left, one) -> left + one <= 0 ? null : left + one);
        }
        return updates;
    }

    private List<String> shuffledUsable() {
        List<String> usable = new ArrayList<>();
        members.values().stream().filter(MemberState::isUsable).forEach(member -> usable.add(member.vm()));
        Collections.shuffle(usable, random);
        return usable;
    }

    private record Probe(String target, long sequence, long sinceNanos, boolean helpAsked) {}

    private record Helped(String asker, long sequence, long sinceNanos) {}
}

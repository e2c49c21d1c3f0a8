package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.membership.MemberState;
import org.galenahinge.membership.MembershipMessages.Outgoing;
import org.galenahinge.membership.MembershipProtocol;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An entry that has ended must not be named to callers beside a living one for longer than a bound. */
class EndedEntriesTest {
    private static final Duration STEP = Duration.ofMillis(100);
    private static final Duration BOUND = Duration.ofSeconds(7);
    private static final Duration BOUND_OF_SMALL_FLEETS = Duration.ofSeconds(6);
    private static final Duration WARM_UP = Duration.ofSeconds(40);

    private final Fleet fleet = new Fleet();

    /** Guards against a single end, or that of a failure domain, of which the news spreads too slowly. */
    @ParameterizedTest
    @CsvSource({"4, 1, 1", "12, 1, 2", "12, 4, 3", "41, 1, 4", "41, 14, 5"})
    void isNotNamedLongAfterItsEnd(int entries, int ended, long seed) {
        fleet.start(entries, seed);
        fleet.run(WARM_UP);
        for (int number = 0; number < ended; number++) {
            fleet.end("e" + number);
        }
        fleet.run(Duration.ofSeconds(20));
        assertThat(fleet.longestNamedAfterEnd()).isLessThanOrEqualTo(entries > 12 ? BOUND : BOUND_OF_SMALL_FLEETS);
    }

    /** Guards against an entry that answers from state that it held before its suspension. */
    @ParameterizedTest
    @CsvSource({"3, 6", "10, 7", "30, 8"})
    void isNotNamedByAnEntryThatWasSuspended(int suspendedSeconds, long seed) {
        fleet.start(41, seed);
        fleet.run(WARM_UP);
        fleet.freeze("e1");
        fleet.end("e0");
        fleet.run(Duration.ofSeconds(suspendedSeconds));
        fleet.thaw("e1");
        assertThat(fleet.named("e1")).containsExactly("e1");
        fleet.run(Duration.ofSeconds(20));
        assertThat(fleet.longestNamedAfterEnd()).isLessThanOrEqualTo(BOUND);
    }

    /** Guards against an entry in a small part of a partitioned fleet that still names entries that ended elsewhere. */
    @ParameterizedTest
    @CsvSource({"1, 10, 9", "1, 4, 10", "2, 12, 11", "3, 12, 12", "14, 12, 13", "20, 12, 14"})
    void isNotNamedByAnEntryThatWasPartitioned(int inPart, int seconds, long seed) {
        fleet.start(41, seed);
        fleet.run(WARM_UP);
        Set<String> part = new HashSet<>();
        for (int number = 1; number <= inPart; number++) {
            part.add("e" + number);
        }
        fleet.connected = (from, to) -> part.contains(from) == part.contains(to);
        fleet.run(Duration.ofMillis(500));
        fleet.end("e0");
        fleet.run(Duration.ofSeconds(seconds));
        fleet.connected = (from, to) -> true;
        fleet.run(Duration.ofSeconds(25));
        assertThat(fleet.longestNamedAfterEnd()).isLessThanOrEqualTo(BOUND);
    }

    /** Guards against an entry that starts after the news of an end and learns of the ended one from a list. */
    @ParameterizedTest
    @CsvSource({"500, 15", "1500, 16", "2500, 17", "3500, 18"})
    void isNotNamedByAnEntryThatHasJustStarted(long startMillis, long seed) {
        fleet.start(41, seed);
        fleet.run(WARM_UP);
        fleet.end("e0");
        fleet.run(Duration.ofMillis(startMillis));
        fleet.startOne("new", seed);
        fleet.run(Duration.ofSeconds(25));
        assertThat(fleet.longestNamedAfterEnd()).isLessThanOrEqualTo(BOUND);
    }

    /** Guards against living entries that are never named again, so that the others get all requests. */
    @Test
    void allLivingEntriesAreNamedAgainAfterAPartition() {
        fleet.start(41, 19);
        fleet.run(WARM_UP);
        assertThat(fleet.named("e1")).hasSize(41);
        fleet.connected = (from, to) -> from.equals("e1") == to.equals("e1");
        fleet.run(Duration.ofSeconds(10));
        fleet.connected = (from, to) -> true;
        fleet.run(WARM_UP);
        assertThat(fleet.named("e1")).hasSize(41);
        assertThat(fleet.named("e2")).hasSize(41);
    }

    /** Entries that exchange membership messages without delay, and lists once a second while they are not settled. */
    private static final class Fleet {
        private final ManualTimers timers = new ManualTimers();
        private final Map<String, Entry> entries = new TreeMap<>();
        private final Map<String, Long> endedNanos = new HashMap<>();
        private final Set<String> frozen = new HashSet<>();
        private final Map<String, List<Runnable>> whileFrozen = new HashMap<>();
        private BiPredicate<String, String> connected = (from, to) -> true;
        private Duration longest = Duration.ZERO;

        private record Entry(String name, MembershipProtocol core, ConfirmedEntries confirmed, long firstListNanos) {}

        void start(int count, long seed) {
            for (int number = 0; number < count; number++) {
                startOne("e" + number, seed);
            }
        }

        void startOne(String name, long seed) {
            Entry entry = new Entry(
                    name,
                    MembershipProtocol.create(
                            name, EntryMembership.TIMING, seed * 1_000 + name.hashCode(), timers.nanoTime()),
                    new ConfirmedEntries(timers),
                    timers.nanoTime());
            entries.put(name, entry);
            entries.values().stream()
                    .filter(other -> !other.name().equals(name))
                    .filter(this::runs)
                    .findFirst()
                    .ifPresent(other -> ask(entry, other));
        }

        void end(String name) {
            endedNanos.put(name, timers.nanoTime());
        }

        void freeze(String name) {
            frozen.add(name);
        }

        /** Lets an entry go on; the messages that arrived meanwhile are read first. */
        void thaw(String name) {
            frozen.remove(name);
            entries.get(name).confirmed().observe();
            whileFrozen.getOrDefault(name, List.of()).forEach(Runnable::run);
        }

        Duration longestNamedAfterEnd() {
            return longest;
        }

        Set<String> named(String name) {
            Entry entry = entries.get(name);
            entry.confirmed().observe();
            Set<String> named = new HashSet<>(Set.of(name));
            entry.core().members().stream()
                    .filter(MemberState::isUsable)
                    .map(MemberState::vm)
                    .filter(entry.confirmed()::isConfirmed)
                    .forEach(named::add);
            return named;
        }

        void run(Duration duration) {
            long endNanos = timers.nanoTime() + duration.toNanos();
            while (timers.nanoTime() < endNanos) {
                timers.advance(STEP);
                List.copyOf(entries.values()).stream().filter(this::runs).forEach(this::tick);
                entries.values().stream().filter(this::runs).forEach(this::check);
            }
        }

        private boolean runs(Entry entry) {
            return !frozen.contains(entry.name()) && !endedNanos.containsKey(entry.name());
        }

        private void tick(Entry entry) {
            entry.confirmed().observe();
            deliver(entry.name(), entry.core().tick(timers.nanoTime()));
            if (entry.core().isOutOfTouch()) {
                entry.confirmed().outOfTouch();
            }
            boolean fullSecond = (timers.nanoTime() - entry.firstListNanos()) % 1_000_000_000L == 0;
            boolean discovery = (timers.nanoTime() - entry.firstListNanos()) % 4_000_000_000L == 0;
            if (discovery || (fullSecond && !entry.confirmed().isSettled())) {
                List<String> others = new ArrayList<>(entries.keySet());
                others.remove(entry.name());
                long index =
                        timers.nanoTime() / 1_000_000_000L * 31 + entry.name().hashCode();
                ask(entry, entries.get(others.get((int) Math.floorMod(index, (long) others.size()))));
            }
        }

        private void ask(Entry entry, Entry other) {
            if (!runs(other) || !connected.test(entry.name(), other.name())) {
                return;
            }
            Collection<String> names = other.confirmed().isSettled()
                    ? named(other.name())
                    : other.core().members().stream()
                            .filter(MemberState::isUsable)
                            .map(MemberState::vm)
                            .toList();
            entry.core().addMembers(names, timers.nanoTime());
            entry.core().addMembers(Set.of(other.name()), timers.nanoTime());
            other.core().addMembers(Set.of(entry.name()), timers.nanoTime());
            if (other.confirmed().isSettled()) {
                entry.confirmed().listed(names, timers.nanoTime());
            }
        }

        private void deliver(String from, List<Outgoing> messages) {
            for (Outgoing outgoing : messages) {
                if (endedNanos.containsKey(outgoing.to()) || !connected.test(from, outgoing.to())) {
                    continue;
                }
                if (frozen.contains(outgoing.to())) {
                    whileFrozen
                            .computeIfAbsent(outgoing.to(), name -> new ArrayList<>())
                            .add(() -> receive(from, outgoing));
                    continue;
                }
                receive(from, outgoing);
            }
        }

        private void receive(String from, Outgoing outgoing) {
            Entry receiver = entries.get(outgoing.to());
            receiver.confirmed().observe();
            receiver.confirmed().heard(from);
            deliver(receiver.name(), receiver.core().receive(from, outgoing.message(), timers.nanoTime()));
        }

        private void check(Entry entry) {
            for (String name : named(entry.name())) {
                Long end = endedNanos.get(name);
                if (end != null) {
                    Duration after = Duration.ofNanos(timers.nanoTime() - end);
                    longest = after.compareTo(longest) > 0 ? after : longest;
                }
            }
        }
    }
}

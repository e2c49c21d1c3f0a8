package org.galenahinge.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.galenahinge.catalog.ColdStartBounds;
import org.galenahinge.limit.NamedLimits.ColdPeriod;
import org.galenahinge.limit.NamedLimits.Position;
import org.galenahinge.limit.TurnStarts.AgedStart;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Entries that share a cold upstream without a network, and disagree on its start and on who the entries are. */
class ColdLimitFleetTest {
    private static final long UPSTREAM = 1;
    private static final Duration STEP = Duration.ofMillis(5);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration RUN = Duration.ofSeconds(40);
    private static final Duration MAXIMUM_DISAGREEMENT = Duration.ofSeconds(1);
    private static final ColdStartBounds BOUNDS = new ColdStartBounds(1.5, 5);
    private static final double RESTARTS_PER_ENTRY_PER_SECOND = 0.01;

    private final Deque<Long> lastSecond = new ArrayDeque<>();
    private final List<Entry> entries = new ArrayList<>();
    private Random random = new Random(1);
    private long nowNanos;
    private long coldNanos;
    private long sent;
    private int mostInSecond;

    /** Guards against a cold upstream that is flooded by turns that overlap, or left idle by turns that nobody uses. */
    @ParameterizedTest
    @CsvSource({
        "1, 14", "2, 14", "7, 14", "18, 14", "41, 14", "150, 14", "570, 14", "41, 1", "41, 40", "18, 0.5", "7, 100"
    })
    void keepsToTheBoundInEachSecondAndUsesMostOfTheRate(int entryCount, double perSecond) {
        int most = 0;
        for (int draw = 0; draw < draws(entryCount); draw++) {
            start(entryCount, perSecond, draw);
            run(RUN, () -> true);
            assertThat(sent / (double) RUN.toSeconds()).isGreaterThanOrEqualTo(0.5 * perSecond);
            most = Math.max(most, mostInSecond);
        }
        assertThat(most).isLessThanOrEqualTo((int) (perSecond * BOUNDS.excess() + BOUNDS.slack()));
    }

    /** Guards against the turns that all entries save up in a pause, and use at once when requests come. */
    @ParameterizedTest
    @CsvSource({"1, 14", "7, 14", "18, 14", "41, 14", "150, 14", "570, 14", "41, 40"})
    void keepsToTheBoundWhenRequestsComeAfterPauses(int entryCount, double perSecond) {
        int most = 0;
        for (int draw = 0; draw < draws(entryCount); draw++) {
            start(entryCount, perSecond, draw);
            for (int round = 0; round < 20; round++) {
                run(randomTime(Duration.ofSeconds(3)), () -> false);
                run(randomTime(Duration.ofSeconds(3)), () -> true);
            }
            most = Math.max(most, mostInSecond);
        }
        assertThat(most).isLessThanOrEqualTo((int) (perSecond * BOUNDS.excess() + BOUNDS.slack()));
    }

    private static int draws(int entryCount) {
        return Math.max(2, Math.min(20, 800 / entryCount));
    }

    private void start(int entryCount, double perSecond, long seed) {
        random = new Random(seed);
        entries.clear();
        lastSecond.clear();
        sent = 0;
        mostInSecond = 0;
        coldNanos = nowNanos;
        TurnRate rate = TurnRate.within(BOUNDS, perSecond);
        for (int index = 0; index < entryCount; index++) {
            entries.add(new Entry(index, entryCount, rate));
        }
    }

    private void run(Duration time, BooleanSupplier hasRequests) {
        for (long step = 0; step < time.dividedBy(STEP); step++) {
            nowNanos += STEP.toNanos();
            for (Entry entry : entries) {
                entry.step(hasRequests.getAsBoolean());
            }
        }
    }

    private void count() {
        sent++;
        lastSecond.addLast(nowNanos);
        while (nowNanos - lastSecond.getFirst() >= SECOND.toNanos()) {
            lastSecond.removeFirst();
        }
        mostInSecond = Math.max(mostInSecond, lastSecond.size());
    }

    private Duration randomTime(Duration maximum) {
        return Duration.ofNanos((long) (random.nextDouble() * maximum.toNanos()));
    }

    /** One entry, whose list of entries may lack another one, or hold one that does not exist. */
    private final class Entry {
        private final TurnRate rate;
        private final Position position;
        private NamedLimits limits;
        private long readNanos;

        Entry(int index, int entryCount, TurnRate rate) {
            this.rate = rate;
            this.position = entryCount < 3 ? new Position(index, entryCount) : drawPosition(index, entryCount);
            restart();
        }

        void step(boolean hasRequests) {
            if (random.nextDouble() < RESTARTS_PER_ENTRY_PER_SECOND * STEP.toNanos() / SECOND.toNanos()) {
                restart();
            }
            if (!limits.isCold(UPSTREAM, nowNanos)) {
                readRecord();
                return;
            }
            while (hasRequests && limits.allows(UPSTREAM, nowNanos)) {
                limits.recordSent(UPSTREAM, nowNanos);
                count();
            }
        }

        private void restart() {
            limits = NamedLimits.create(() -> position);
            readNanos = nowNanos + randomTime(MAXIMUM_DISAGREEMENT).toNanos();
        }

        private void readRecord() {
            if (nowNanos - readNanos < 0) {
                return;
            }
            // What gossip tells agrees no better than what entries read.
            long toldNanos = coldNanos + randomTime(MAXIMUM_DISAGREEMENT).toNanos();
            if (nowNanos - toldNanos >= 0) {
                limits.addColdStart(
                        new AgedStart(UPSTREAM, Duration.ofNanos(nowNanos - toldNanos), Duration.ZERO), nowNanos);
            }
            limits.setCold(
                    UPSTREAM,
                    new ColdPeriod(
                            rate, nowNanos, nowNanos + RUN.multipliedBy(9).toNanos()),
                    nowNanos);
        }

        private Position drawPosition(int index, int entryCount) {
            int other = random.nextInt(entryCount + 1);
            return switch (random.nextInt(3)) {
                case 0 -> new Position(index, entryCount);
                case 1 -> new Position(other <= index ? index + 1 : index, entryCount + 1);
                default ->
                    other >= entryCount || other == index
                            ? new Position(index, entryCount)
                            : new Position(other < index ? index - 1 : index, entryCount - 1);
            };
        }
    }
}

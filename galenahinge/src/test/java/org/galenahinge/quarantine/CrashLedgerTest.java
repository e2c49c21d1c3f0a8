package org.galenahinge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CrashLedgerTest {
    private static final PromptPart BAD = PromptPart.of("bad");
    private static final PromptPart SOUND = PromptPart.of("50");
    private static final Duration SETTLED = Duration.ofSeconds(1);

    private final CrashLedger ledger = CrashLedger.create(part -> true);
    private long nowNanos = 1_000_000_000L;
    private long nextUpstream;

    @ParameterizedTest
    @CsvSource({"2, false", "3, true", "5, true"})
    void quarantinesAPartAfterThreeCrashes(int crashes, boolean expected) {
        crash(crashes, BAD);
        assertThat(ledger.isQuarantined(List.of(SOUND, BAD), nowNanos)).isEqualTo(expected);
        assertThat(ledger.isQuarantined(List.of(SOUND), nowNanos)).isFalse();
        assertThat(ledger.isQuarantined(List.of(), nowNanos)).isFalse();
    }

    /** Requests that were lost with an engine may show at another one that their parts are sound. */
    @Test
    void waitsUntilRequestsHadTimeForAnEventElsewhere() {
        for (int crash = 0; crash < 3; crash++) {
            ledger.add(aged(Set.of(BAD), Duration.ZERO), nowNanos);
        }
        assertThat(ledger.isQuarantined(List.of(BAD), nowNanos)).isFalse();
        ledger.recordServed(List.of(BAD), nowNanos + Duration.ofMillis(300).toNanos());
        nowNanos += SETTLED.toNanos();
        assertThat(ledger.isQuarantined(List.of(BAD), nowNanos)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5, 9})
    void releasesAPartThatBringsAnEvent(int crashes) {
        crash(crashes, BAD);
        assertThat(ledger.isQuarantined(List.of(BAD), nowNanos)).isTrue();
        ledger.recordServed(List.of(BAD), nowNanos);
        assertThat(ledger.isQuarantined(List.of(BAD), nowNanos)).isFalse();
    }

    /** An event that is known before the crash is heard of clears the part as well. */
    @Test
    void clearsAPartOfACrashThatIsHeardOfLate() {
        ledger.recordServed(List.of(SOUND), nowNanos);
        for (int crash = 0; crash < 3; crash++) {
            ledger.add(aged(Set.of(SOUND, BAD), SETTLED), nowNanos);
        }
        assertThat(ledger.quarantined(nowNanos)).containsExactly(Set.of(BAD));
    }

    @ParameterizedTest
    @CsvSource({"3, 2", "4, 2", "5, 0"})
    void triesADoubtfulPartTwiceAtMost(int crashes, int expected) {
        crash(crashes, BAD);
        int trials = 0;
        for (int second = 0; second < 600; second++) {
            trials += ledger.isQuarantined(List.of(BAD), nowNanos) ? 0 : 1;
            nowNanos += Duration.ofSeconds(1).toNanos();
        }
        assertThat(trials).isEqualTo(expected);
    }

    /** Guards against memory that grows with crashes, and against nodes that pass on for ever what others have dropped. */
    @Test
    void holdsTheYoungestCrashesAndThoseOfCauses() {
        crash(5, BAD);
        for (int number = 0; number < 1_000; number++) {
            crash(1, new PromptPart(1_000 + number));
        }
        assertThat(ledger.all(nowNanos)).hasSize(CrashLedger.MAXIMUM_CRASHES);
        assertThat(ledger.quarantined(nowNanos)).containsExactly(Set.of(BAD));

        nowNanos += Duration.ofSeconds(10).toNanos();
        for (int number = 0; number < 100; number++) {
            ledger.add(aged(Set.of(new PromptPart(number)), Duration.ofMinutes(50)), nowNanos);
        }
        assertThat(ledger.changedWithin(SETTLED, nowNanos)).isEmpty();
    }

    @Test
    void forgetsCrashesAfterAnHour() {
        crash(5, BAD);
        nowNanos += Duration.ofHours(1).toNanos();
        assertThat(ledger.all(nowNanos)).isEmpty();
        assertThat(ledger.isQuarantined(List.of(BAD), nowNanos)).isFalse();
    }

    private void crash(int times, PromptPart part) {
        for (int crash = 0; crash < times; crash++) {
            ledger.add(aged(Set.of(part), Duration.ZERO), nowNanos);
            nowNanos += SETTLED.toNanos();
            assertThat(ledger.all(nowNanos)).hasSizeLessThanOrEqualTo(CrashLedger.MAXIMUM_CRASHES);
        }
    }

    private AgedCrash aged(Set<PromptPart> suspects, Duration age) {
        return new AgedCrash(new Crash(nextUpstream++, suspects, Set.of()), age);
    }
}

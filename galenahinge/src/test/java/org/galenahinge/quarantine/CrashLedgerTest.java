package org.galenahinge.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.galenahinge.quarantine.CrashLedger.AgedCrash;
import org.galenahinge.quarantine.CrashLedger.Decision;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CrashLedgerTest {
    private static final RequestTrait BAD = RequestTrait.ofPart("bad");
    private static final RequestTrait SOUND = RequestTrait.ofPart("50");
    private static final Duration SETTLED = Duration.ofSeconds(1);

    private final CrashLedger ledger = CrashLedger.create(part -> true);
    private long nowNanos = 1_000_000_000L;
    private long nextUpstream;

    @ParameterizedTest
    @CsvSource({"2, false", "3, true", "5, true"})
    void quarantinesAPartAfterThreeCrashes(int crashes, boolean expected) {
        crash(crashes, BAD);
        assertThat(isQuarantined(List.of(SOUND, BAD))).isEqualTo(expected);
        assertThat(isQuarantined(List.of(SOUND))).isFalse();
        assertThat(isQuarantined(List.of())).isFalse();
    }

    /** Requests that were lost with an engine may show at another one that their parts are sound. */
    @Test
    void waitsUntilRequestsHadTimeForAnEventElsewhere() {
        for (int crash = 0; crash < 3; crash++) {
            ledger.add(aged(Set.of(BAD), Duration.ZERO), nowNanos);
        }
        assertThat(isQuarantined(List.of(BAD))).isFalse();
        ledger.recordServed(List.of(BAD), nowNanos + Duration.ofMillis(300).toNanos());
        nowNanos += SETTLED.toNanos();
        assertThat(isQuarantined(List.of(BAD))).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5, 9})
    void releasesAPartThatBringsAnEvent(int crashes) {
        crash(crashes, BAD);
        assertThat(isQuarantined(List.of(BAD))).isTrue();
        ledger.recordServed(List.of(BAD), nowNanos);
        assertThat(isQuarantined(List.of(BAD))).isFalse();
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
    @CsvSource({"3, 2", "4, 2", "5, 2", "9, 2"})
    void triesAPartTwiceAtMost(int crashes, int expected) {
        crash(crashes, BAD);
        int trials = 0;
        for (int second = 0; second < 600; second++) {
            trials += isQuarantined(List.of(BAD)) ? 0 : 1;
            nowNanos += Duration.ofSeconds(1).toNanos();
        }
        assertThat(trials).isEqualTo(expected);
    }

    /** Guards against a part of all requests that is blamed for upstreams which end at once for a reason of their own. */
    @ParameterizedTest
    @CsvSource({"2900, false", "3100, true"})
    void suspectsNoPartThatWasServedShortlyBefore(long millisBefore, boolean expected) {
        ledger.recordServed(List.of(SOUND), nowNanos);
        nowNanos += Duration.ofMillis(millisBefore).toNanos();
        for (int upstream = 0; upstream < 8; upstream++) {
            ledger.add(aged(Set.of(SOUND, RequestTrait.ofRequest(upstream)), Duration.ZERO), nowNanos);
        }
        nowNanos += SETTLED.toNanos();
        assertThat(isQuarantined(List.of(SOUND))).isEqualTo(expected);
    }

    /** Guards against a part that several of the upstreams had by chance which ended at one moment for a reason of their own. */
    @ParameterizedTest
    @CsvSource({
        // crashes at one moment, those with the part, crashes with it later, milliseconds between two, whether it is
        // blamed
        "3, 3, 0, 0, true",
        "4, 3, 0, 10, true",
        "5, 3, 0, 10, false",
        "5, 4, 0, 10, true",
        "10, 5, 0, 10, false",
        "10, 8, 0, 10, false",
        "10, 9, 0, 10, true",
        "10, 8, 2, 10, false",
        "10, 8, 3, 10, true",
        "10, 5, 0, 60, true",
    })
    void blamesNoPartOfSomeUpstreamsThatEndedAtOneMoment(
            int crashes, int withPart, int later, long millisBetween, boolean expected) {
        for (int crash = 0; crash < crashes; crash++) {
            RequestTrait part = crash < withPart ? BAD : SOUND;
            ledger.add(aged(Set.of(part, RequestTrait.ofRequest(crash)), Duration.ZERO), nowNanos);
            nowNanos += Duration.ofMillis(millisBetween).toNanos();
        }
        nowNanos += SETTLED.toNanos();
        crash(later, BAD);
        assertThat(ledger.quarantined(nowNanos).contains(Set.of(BAD))).isEqualTo(expected);
    }

    /** Guards against further engines that end while five crashes, one after the other, still wait to be refuted. */
    @ParameterizedTest
    @CsvSource({"150, true", "10, false"})
    void countsCrashesOfSeveralMomentsAtOnce(long millisBetween, boolean expected) {
        for (int crash = 0; crash < 5; crash++) {
            nowNanos += Duration.ofMillis(millisBetween).toNanos();
            ledger.add(aged(Set.of(BAD, RequestTrait.ofRequest(crash)), Duration.ZERO), nowNanos);
        }
        assertThat(isQuarantined(List.of(BAD))).isEqualTo(expected);
    }

    /** Guards against a quarantine without a way back after upstreams that ended at once, and were away for a while. */
    @ParameterizedTest
    @ValueSource(ints = {5, 9})
    void triesAPartOfOneMomentUntilAnUpstreamGetsIt(int crashes) {
        for (int upstream = 0; upstream < crashes; upstream++) {
            ledger.add(aged(Set.of(SOUND), Duration.ofMillis(upstream)), nowNanos);
        }
        nowNanos += Duration.ofSeconds(9).toNanos();
        assertThat(isQuarantined(List.of(SOUND))).isTrue();
        nowNanos += Duration.ofSeconds(1).toNanos();
        for (int away = 0; away < 10; away++) {
            assertThat(ledger.decide(List.of(SOUND), nowNanos)).isEqualTo(Decision.TRIAL);
            ledger.trialNotSent(List.of(SOUND), nowNanos);
        }
        assertThat(ledger.decide(List.of(SOUND), nowNanos)).isEqualTo(Decision.TRIAL);
        assertThat(ledger.decide(List.of(SOUND), nowNanos)).isEqualTo(Decision.QUARANTINED);
        ledger.recordServed(List.of(SOUND), nowNanos);
        assertThat(ledger.decide(List.of(SOUND), nowNanos)).isEqualTo(Decision.ALLOWED);
    }

    /** Guards against trials of one request that end upstreams soon after it was found, though it harms nobody else. */
    @ParameterizedTest
    @CsvSource({"11, false, TRIAL", "11, true, QUARANTINED", "61, true, TRIAL"})
    void triesARequestAsAWholeLaterThanAPart(long seconds, boolean wholeRequest, Decision expected) {
        RequestTrait cause = wholeRequest ? RequestTrait.ofRequest(1) : BAD;
        for (int crash = 0; crash < 3; crash++) {
            ledger.add(aged(Set.of(cause), Duration.ZERO), nowNanos);
        }
        nowNanos += Duration.ofSeconds(seconds).toNanos();
        assertThat(ledger.decide(List.of(cause), nowNanos)).isEqualTo(expected);
    }

    /** Guards against trials that begin anew at another node, which would end more upstreams than the rule allows. */
    @ParameterizedTest
    @ValueSource(ints = {5, 8})
    void countsTheTrialsOfOtherNodes(int crashes) {
        crash(crashes, BAD);
        int trials = 0;
        for (int second = 0; second < 1_200; second++) {
            CrashLedger takingOver = CrashLedger.create(part -> true);
            ledger.all(nowNanos).forEach(known -> takingOver.add(known, nowNanos));
            if (takingOver.decide(List.of(BAD), nowNanos) == Decision.TRIAL) {
                trials++;
                ledger.add(aged(Set.of(BAD), Duration.ZERO), nowNanos);
            }
            nowNanos += Duration.ofSeconds(1).toNanos();
        }
        assertThat(trials).isEqualTo(2);
    }

    /** Guards against sound requests of the caller that are rejected with the one that crashes upstreams. */
    @Test
    void quarantinesARequestAsAWhole() {
        RequestTrait crashing = RequestTrait.ofRequest(1);
        for (int crash = 0; crash < 3; crash++) {
            ledger.add(aged(Set.of(SOUND, crashing), SETTLED), nowNanos);
        }
        assertThat(isQuarantined(List.of(SOUND, crashing))).isTrue();
        assertThat(isQuarantined(List.of(SOUND, RequestTrait.ofRequest(2)))).isFalse();
        assertThat(isQuarantined(List.of(RequestTrait.ofPart(1)))).isFalse();
    }

    /** Guards against many requests that displace what is known of parts, and against memory that grows with requests. */
    @Test
    void remembersPartsWhateverTheNumberOfRequests() {
        ledger.recordServed(List.of(SOUND), nowNanos);
        for (int number = 0; number < 100_000; number++) {
            ledger.recordServed(List.of(RequestTrait.ofRequest(number)), nowNanos);
        }
        for (int crash = 0; crash < 3; crash++) {
            ledger.add(aged(Set.of(SOUND, RequestTrait.ofRequest(99_999)), SETTLED), nowNanos);
        }
        assertThat(ledger.quarantined(nowNanos)).isEmpty();
    }

    /** Guards against memory that grows with crashes, and against nodes that pass on for ever what others have dropped. */
    @Test
    void holdsTheYoungestCrashesAndThoseOfCauses() {
        crash(5, BAD);
        for (int number = 0; number < 1_000; number++) {
            crash(1, RequestTrait.ofPart(1_000 + number));
        }
        assertThat(ledger.all(nowNanos)).hasSize(CrashLedger.MAXIMUM_CRASHES);
        assertThat(ledger.quarantined(nowNanos)).containsExactly(Set.of(BAD));

        nowNanos += Duration.ofSeconds(10).toNanos();
        for (int number = 0; number < 100; number++) {
            ledger.add(aged(Set.of(RequestTrait.ofPart(number)), Duration.ofMinutes(50)), nowNanos);
        }
        assertThat(ledger.changedWithin(SETTLED, nowNanos)).isEmpty();
    }

    /**
     * Guards against nodes that tell each other for ever of crashes at one moment for which they have no room: each telling
     * makes a crash look younger than those that are held.
     */
    @ParameterizedTest
    @CsvSource({"2, 65", "8, 97", "20, 300"})
    void endsTheExchangeOfMoreCrashesThanItHolds(int nodes, int crashes) {
        List<AgedCrash> moment = IntStream.range(0, crashes)
                .mapToObj(number -> aged(Set.of(RequestTrait.ofPart(number)), Duration.ZERO))
                .collect(Collectors.toCollection(ArrayList::new));
        List<CrashLedger> ledgers = new ArrayList<>();
        Random random = new Random(1);
        for (int node = 0; node < nodes; node++) {
            CrashLedger started = CrashLedger.create(part -> true);
            Collections.shuffle(moment, random);
            moment.forEach(crash -> started.add(crash, nowNanos));
            ledgers.add(started);
        }
        long startNanos = nowNanos;
        for (int telling = 0; telling < 100 * nodes; telling++) {
            tell(ledgers.get(random.nextInt(nodes)), ledgers.get(random.nextInt(nodes)));
        }
        Duration age = Duration.ofNanos(nowNanos - startNanos);
        nowNanos += SETTLED.toNanos();
        for (CrashLedger told : ledgers) {
            tell(ledgers.get(0), told);
            assertThat(told.changedWithin(SETTLED, nowNanos)).isEmpty();
            assertThat(told.all(nowNanos))
                    .hasSize(CrashLedger.MAXIMUM_CRASHES)
                    .allMatch(crash -> crash.age().compareTo(age) >= 0);
        }
    }

    /** Tells a node of all crashes that another one holds, which takes some milliseconds. */
    private void tell(CrashLedger from, CrashLedger to) {
        List<AgedCrash> told = from.all(nowNanos);
        nowNanos += Duration.ofMillis(3).toNanos();
        told.forEach(crash -> to.add(crash, nowNanos));
    }

    @Test
    void forgetsCrashesAfterAnHour() {
        crash(5, BAD);
        nowNanos += Duration.ofHours(1).toNanos();
        assertThat(ledger.all(nowNanos)).isEmpty();
        assertThat(isQuarantined(List.of(BAD))).isFalse();
    }

    /** Guards against causes of several parts that no node may try, because each part has another node. */
    @Test
    void triesACauseOfSeveralPartsAtOneNode() {
        CrashLedger other = CrashLedger.create(part -> !part.equals(BAD) && !part.equals(SOUND));
        CrashLedger one = CrashLedger.create(part -> part.equals(SOUND));
        for (int crash = 0; crash < 3; crash++) {
            AgedCrash told = aged(Set.of(SOUND, BAD), SETTLED);
            one.add(told, nowNanos);
            other.add(told, nowNanos);
        }
        int trials = 0;
        for (int second = 0; second < 60; second++) {
            trials += one.decide(List.of(SOUND, BAD), nowNanos) == Decision.TRIAL ? 1 : 0;
            assertThat(other.decide(List.of(SOUND, BAD), nowNanos)).isEqualTo(Decision.QUARANTINED);
            nowNanos += Duration.ofSeconds(1).toNanos();
        }
        assertThat(trials).isEqualTo(2);
    }

    private boolean isQuarantined(List<RequestTrait> parts) {
        return ledger.decide(parts, nowNanos) == Decision.QUARANTINED;
    }

    private void crash(int times, RequestTrait part) {
        for (int crash = 0; crash < times; crash++) {
            ledger.add(aged(Set.of(part), Duration.ZERO), nowNanos);
            nowNanos += SETTLED.toNanos();
            assertThat(ledger.all(nowNanos)).hasSizeLessThanOrEqualTo(CrashLedger.MAXIMUM_CRASHES);
        }
    }

    private AgedCrash aged(Set<RequestTrait> suspects, Duration age) {
        return new AgedCrash(new Crash(nextUpstream++, suspects, Set.of()), age);
    }
}

package org.galenahinge.facts;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicInteger;
import org.galenahinge.catalog.ApiKeys;
import org.galenahinge.catalog.CallerLimits;
import org.galenahinge.catalog.Catalog;
import org.galenahinge.catalog.RouteTable;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.upstream.LeavingUpstreams.AgedIncarnation;
import org.galenahinge.upstream.LeavingUpstreams.Source;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class FleetFactsTest {
    private final ManualTimers timers = new ManualTimers();
    private final EventLog log = EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry());
    private final FleetFacts facts = FleetFacts.create(FleetFactsTest::decode, timers, log);

    @ParameterizedTest
    @CsvSource({"1 2 3, 3", "3 2 1, 3", "2 5 4 5, 5"})
    void keepsTheHighestConfigurationVersion(String versions, long expected) {
        long revision = 1;
        for (String version : List.of(versions.split(" ", -1))) {
            facts.apply(List.of(item("config " + version, revision++)));
        }
        assertThat(facts.catalog().orElseThrow().version()).isEqualTo(expected);
    }

    @Test
    void keepsARecordThatExpiredDuringAStoreOutageForTheGracePeriod() {
        facts.apply(List.of(item("up a", 1)));
        facts.storeRecovered();
        facts.apply(List.of(FactItem.removed("up a", new StorePosition(1, 2))));
        assertThat(facts.find("a")).isPresent();
        timers.advance(Duration.ofMillis(1_900));
        assertThat(facts.find("a")).isPresent();
        timers.advance(Duration.ofMillis(200));
        assertThat(facts.find("a")).isEmpty();
    }

    @Test
    void keepsARecordThatIsWrittenAgainWithinTheGracePeriod() {
        facts.apply(List.of(item("up a", 1)));
        facts.storeRecovered();
        facts.apply(List.of(FactItem.removed("up a", new StorePosition(1, 2))));
        timers.advance(Duration.ofMillis(800));
        facts.apply(List.of(item("up a", 3)));
        timers.advance(Duration.ofSeconds(3));
        assertThat(facts.find("a")).isPresent();
    }

    @Test
    void removesARecordAtOnceWithoutAStoreOutage() {
        facts.apply(List.of(item("up a", 1)));
        facts.apply(List.of(FactItem.removed("up a", new StorePosition(1, 2))));
        assertThat(facts.find("a")).isEmpty();
    }

    @Test
    void findsTheNewestVersionNamedLongEnoughAgo() {
        facts.apply(List.of(item("up a 1", 1)));
        facts.apply(List.of(item("named 2", 2)));
        timers.advance(Duration.ofSeconds(2));
        facts.apply(List.of(item("named 3", 3)));
        timers.advance(Duration.ofMillis(5_500));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));
        assertThat(facts.newestNamed("m").orElseThrow().version()).isEqualTo(3);
    }

    /** Guards against requests on an old version from a node that started after the naming, and took it for new. */
    @ParameterizedTest
    @ValueSource(strings = {"up a 2|up b 2|up c 1", "up a 1|up b 1|up c 2", "up a 1|up b 1", ""})
    void requiresAVersionFoundAtStartUntilItsAgeIsTold(String upstreams) {
        List<FactItem> first = new ArrayList<>();
        long revision = 1;
        for (String key : upstreams.isEmpty() ? List.<String>of() : List.of(upstreams.split("\\|", -1))) {
            first.add(item(key, revision++));
        }
        first.add(item("named 2", revision));
        facts.apply(first);
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));

        facts.versionAgeTold(new AgedVersion(new WeightsVersion("m", 2), Duration.ofSeconds(2)));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEmpty();
        timers.advance(Duration.ofSeconds(5));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));
    }

    /** Guards against the time at which a node hears of a version standing for the time at which it was named. */
    @ParameterizedTest
    @CsvSource({"0 0, 7000", "3000 0, 4000", "0 3000, 4000", "2000 5000 1000, 2000", "9000, 0"})
    void countsTheLongestAgeThatAnyNodeTells(String toldMillis, long untilRequiredMillis) {
        facts.apply(List.of(item("up a 1", 1)));
        facts.apply(List.of(item("named 2", 2)));
        for (String told : List.of(toldMillis.split(" ", -1))) {
            Duration age = Duration.ofMillis(Long.parseLong(told));
            facts.versionAgeTold(new AgedVersion(new WeightsVersion("m", 2), age));
        }
        if (untilRequiredMillis > 0) {
            timers.advance(Duration.ofMillis(untilRequiredMillis - 1));
            assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEmpty();
            timers.advance(Duration.ofMillis(1));
        }
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));
    }

    /** Guards against requests that are withdrawn in masses for a version that is as new as others are about to tell. */
    @ParameterizedTest
    @CsvSource({"true, 0, ", "true, 999, ", "true, 1000, 2", "false, 0, ", "false, 1000, "})
    void requiresOfUnstartedRequestsOnlyWhatOthersHadTimeToTell(boolean untold, long sinceReadMillis, Long expected) {
        facts.apply(List.of(item("up a 1", 1)));
        facts.apply(List.of(item("named 2", 2)), Duration.ofSeconds(9));
        if (!untold) {
            facts.versionAgeTold(new AgedVersion(new WeightsVersion("m", 2), Duration.ofSeconds(2)));
        }
        timers.advance(Duration.ofMillis(sinceReadMillis));
        OptionalLong required = expected == null ? OptionalLong.empty() : OptionalLong.of(expected);
        assertThat(facts.newestSurelyNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(required);
    }

    /** Guards against requests on a version that two later ones replaced, from a node that has read only the last. */
    @Test
    void requiresAVersionThatWasReplacedBeforeThisNodeReadIt() {
        facts.apply(List.of(item("up a 1", 1), item("named 3", 2)));
        facts.versionAgeTold(new AgedVersion(new WeightsVersion("m", 3), Duration.ofMillis(500)));
        facts.versionAgeTold(new AgedVersion(new WeightsVersion("m", 2), Duration.ofMillis(5_500)));
        facts.versionAgeTold(new AgedVersion(new WeightsVersion("m", 4), Duration.ofDays(1)));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEmpty();
        timers.advance(Duration.ofMillis(1_500));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));
    }

    /** Guards against an age that is lost, or too short, where reading was interrupted on all nodes as the version was named. */
    @Test
    void keepsItsOwnAgeWhereOthersHeardLater() {
        facts.apply(List.of(item("up a 1", 1)));
        facts.apply(List.of(item("named 2", 2)), Duration.ofMillis(1_400));
        assertThat(facts.versionAges().all(timers.nanoTime()))
                .containsExactly(new AgedVersion(new WeightsVersion("m", 2), Duration.ofMillis(1_400)));
        facts.apply(List.of(item("named 3", 3)), Duration.ofSeconds(4));
        timers.advance(Duration.ofMillis(3_600));
        facts.versionAgeTold(new AgedVersion(new WeightsVersion("m", 3), Duration.ZERO));
        timers.advance(Duration.ofMillis(3_400));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(3));
    }

    /** A node that was interrupted knows only how old a version may be, and must not tell others that it is so old. */
    @Test
    void tellsNoAgeThatItHasNotWitnessed() {
        facts.apply(List.of(item("up a 1", 1), item("named 2", 2)));
        facts.apply(List.of(item("named 3", 3)), Duration.ofSeconds(4));
        assertThat(facts.versionAges().all(timers.nanoTime())).isEmpty();
        facts.apply(List.of(item("named 4", 4)));
        assertThat(facts.versionAges().all(timers.nanoTime()))
                .containsExactly(new AgedVersion(new WeightsVersion("m", 4), Duration.ZERO));
    }

    /**
     * Guards against requests on an old version from an entry whose VM was suspended within the rollout, before others have
     * corrected the ages that it holds. It must not tell others an age that counts the suspension, which may be a clock that was
     * set forward.
     */
    @ParameterizedTest
    @CsvSource({"3000, 4000, true", "6000, 1000, true", "3000, 3900, false", "6000, -4000, false"})
    void countsATimeInWhichItsVmMayHaveBeenSuspended(long beforeMillis, long stepMillis, boolean isRequired) {
        facts.apply(List.of(item("up a 1", 1), item("named 1", 2)));
        facts.apply(List.of(item("named 2", 3)));
        timers.advance(Duration.ofMillis(beforeMillis));
        facts.apply(List.of());
        timers.stepTimeOfDay(Duration.ofMillis(stepMillis));
        OptionalLong expected = OptionalLong.of(isRequired ? 2 : 1);
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(expected);
        assertThat(facts.versionAges().age(new WeightsVersion("m", 2), timers.nanoTime()))
                .contains(Duration.ofMillis(beforeMillis));
    }

    /** Guards against refusing an old version for long, or one that a later version replaces, since the clock was set forward. */
    @Test
    void forgetsATimeOfSuspensionOnceOthersHaveToldTheAge() {
        facts.apply(List.of(item("up a 1", 1), item("named 1", 2)));
        facts.apply(List.of(item("named 2", 3)));
        timers.stepTimeOfDay(Duration.ofSeconds(30));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));
        timers.advance(Duration.ofMillis(100));
        facts.apply(List.of(item("named 3", 4)));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));
        timers.advance(Duration.ofSeconds(2));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(1));
    }

    /** Guards against an old version that is allowed again, here or elsewhere, after a version whose age is not known. */
    @Test
    void requiresAVersionOfUnknownAgeUntilItsAgeIsTold() {
        facts.apply(List.of(item("up a 1", 1), item("named 1", 2)));
        facts.apply(List.of(item("named 2", 3)), FactSynchronizer.AGE_UNKNOWN);
        assertThat(facts.versionAges().all(timers.nanoTime())).isEmpty();
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));

        facts.versionAgeTold(new AgedVersion(new WeightsVersion("m", 2), Duration.ofSeconds(2)));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(1));
    }

    /**
     * The age of a version received after an interruption counts from the earliest time at which it may have been
     * named.
     */
    @Test
    void countsTheAgeFromTheEarliestPossibleNaming() {
        facts.apply(List.of(item("up a 1", 1)));
        facts.apply(List.of(item("named 2", 2)), Duration.ofMillis(1_400));
        timers.advance(Duration.ofMillis(5_700));
        assertThat(facts.newestNamedBefore("m", Duration.ofSeconds(7))).isEqualTo(OptionalLong.of(2));
    }

    /** Guards against an item that is never applied because the decoder failed on one before it. */
    @Test
    void appliesTheItemsAfterOneOnWhichTheDecoderFails() {
        facts.apply(List.of(item("up a", 1), item("config odd", 2), item("up b", 3)));
        assertThat(facts.find("a")).isPresent();
        assertThat(facts.find("b")).isPresent();
        assertThat(facts.catalog()).isEmpty();
    }

    /** Guards against a record, published before or after, that takes back what the same life said of itself. */
    @ParameterizedTest
    @CsvSource({
        "up a, a, true",
        "up a|up a, a, true",
        "up a|said a|up a, -, true",
        "up a|removed a|up a, a, true",
        "'', a, true",
        "up a, b, false",
        "up a, -, false"
    })
    void anUpstreamThatSaidThatItLeavesIsLeaving(String first, String said, boolean leaving) {
        applyAll(first);
        say(said);
        applyAll("up a");
        assertThat(facts.find("a").orElseThrow().leaving()).isEqualTo(leaving);
    }

    /** Guards against a new life that is avoided for what an earlier one said, and against a gateway that is not told. */
    @Test
    void isToldOnceForEachLife() {
        AtomicInteger changes = new AtomicInteger();
        facts.onChange(changes::incrementAndGet);
        applyAll("up a 1 100");
        sayBorn(100);
        sayBorn(100);
        assertThat(changes).hasValue(2);
        assertThat(facts.leavingCount(Source.RESPONSE)).isEqualTo(1);
        assertThat(facts.find("a").orElseThrow().leaving()).isTrue();
        applyAll("up a 1 200");
        assertThat(facts.find("a").orElseThrow().leaving()).isFalse();
        sayBorn(200);
        assertThat(facts.find("a").orElseThrow().leaving()).isTrue();
        assertThat(facts.leavingCount(Source.RESPONSE)).isEqualTo(2);
    }

    @Test
    void countsRecordsThatSayThatTheirUpstreamLeaves() {
        applyAll("up a 1 100|leaving a 1 100|leaving a 2 100");
        sayBorn(100);
        assertThat(facts.leavingCount(Source.RECORD)).isEqualTo(1);
        assertThat(facts.leavingCount(Source.RESPONSE)).isEqualTo(1);
    }

    private void applyAll(String keys) {
        for (String key : keys.split("\\|", -1)) {
            if (key.startsWith("said")) {
                say("a");
            } else if (key.startsWith("removed")) {
                facts.apply(List.of(FactItem.removed("up a", new StorePosition(1, 1))));
            } else if (!key.isEmpty()) {
                facts.apply(List.of(item(key, 1)));
            }
        }
    }

    /** Guards against an evacuation that ends with another one, is missed, or outlives the removal of its item. */
    @ParameterizedTest
    @CsvSource({"+a, a", "+a +b, a b", "+a +b -a, b", "+a -a, ''", "-a, ''", "+a +a -a, ''", "+a -a +a, a"})
    void evacuatesTheFailureDomainsOfTheItemsThatExist(String changes, String expected) {
        long revision = 1;
        for (String change : List.of(changes.split(" ", -1))) {
            String key = "evacuate " + change.substring(1);
            StorePosition position = new StorePosition(1, revision++);
            facts.apply(List.of(
                    change.startsWith("+")
                            ? FactItem.written(key, new byte[0], position)
                            : FactItem.removed(key, position)));
        }
        assertThat(String.join(" ", facts.evacuatedDomains().zones())).isEqualTo(expected);
        assertThat(facts.evacuatedDomains().contains("a"))
                .isEqualTo(List.of(expected.split(" ", -1)).contains("a"));
        assertThat(facts.evacuatedDomains().isEmpty()).isEqualTo(expected.isEmpty());
    }

    /** Guards against a removal that is delayed, or an evacuation that ends, because the store has just recovered. */
    @Test
    void keepsToTheItemsRightAfterTheStoreRecovers() {
        facts.apply(List.of(item("evacuate a", 1)));
        facts.storeRecovered();
        timers.advance(Duration.ofSeconds(3));
        assertThat(facts.evacuatedDomains().zones()).containsExactly("a");
        facts.storeRecovered();
        facts.apply(List.of(FactItem.removed("evacuate a", new StorePosition(1, 2))));
        assertThat(facts.evacuatedDomains().zones()).isEmpty();
    }

    private void say(String id) {
        facts.recordLeaving(new AgedIncarnation(upstream(id, 0).incarnationKey(), Duration.ZERO), Source.RESPONSE);
    }

    private void sayBorn(long bornMillis) {
        facts.recordLeaving(
                new AgedIncarnation(upstream("a", bornMillis).incarnationKey(), Duration.ZERO), Source.RESPONSE);
    }

    private static Upstream upstream(String id, long bornMillis) {
        return new Upstream(id, "s", new WireAddress("10.0.0.1", 80), "z", 1, false, Optional.empty(), bornMillis, 1);
    }

    private static FactItem item(String key, long revision) {
        return FactItem.written(key, new byte[0], new StorePosition(1, revision));
    }

    private static Fact decode(FactItem item) {
        String[] words = item.key().split(" ", -1);
        if (words[0].equals("config")) {
            return new Fact.ConfigurationPublished(new Catalog(
                    Long.parseLong(words[1]),
                    RouteTable.of(List.of()),
                    Map.of(),
                    ApiKeys.notRequired(),
                    CallerLimits.INITIAL));
        }
        if (words[0].equals("named")) {
            return new Fact.VersionNamed(new WeightsVersion("m", Long.parseLong(words[1])));
        }
        if (words[0].equals("evacuate")) {
            return item.removed() ? new Fact.EvacuationEnded(words[1]) : new Fact.EvacuationBegun(words[1]);
        }
        if (item.removed()) {
            return new Fact.UpstreamAbsent(words[1], "removed");
        }
        Optional<WeightsVersion> weights =
                words.length < 3 ? Optional.empty() : Optional.of(new WeightsVersion("m", Long.parseLong(words[2])));
        long born = words.length < 4 ? 0 : Long.parseLong(words[3]);
        boolean leaving = words[0].equals("leaving");
        return new Fact.UpstreamPresent(new Upstream(
                words[1], "s", new WireAddress("10.0.0.1", 80), "z", 1, leaving, weights, born, item.revision()));
    }
}

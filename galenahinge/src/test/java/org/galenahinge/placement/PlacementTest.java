package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.placement.UpstreamLoad.LoadReport;
import org.galenahinge.upstream.HeldWeights;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PlacementTest {
    private static final EngineProfile FIGURES =
            new EngineProfile(16, 317_000, 9.27, 0.0232, 0.0322, 20.7, 1.18, 2_048, 5, 16, 64, 32_768, List.of("m"));
    private static final long NOW = 100_000_000_000L;
    private static final long LONG_AGO = 50_000_000_000L;

    private final Placement placement = Placement.create("a", () -> 1, 1);

    @Test
    void prefersTheOwnFailureDomainWhileItIsAsGood() {
        List<Candidate> candidates = List.of(engine("far", "b", 1), engine("near", "a", 1));
        assertThat(chosen(candidates, demand(500))).isEqualTo("near");
    }

    @Test
    void goesFurtherWhereTheOwnFailureDomainIsFull() {
        Candidate near = engine("near", "a", 1);
        near.load().reported(new LoadReport(16, 0, 20_000, 1, false, Optional.empty(), held(1)), NOW);
        assertThat(chosen(List.of(engine("far", "b", 1), near), demand(500))).isEqualTo("far");
    }

    /** Long prompts that arrive together: read one after the other, they would hold up all writers of one engine. */
    @Test
    void spreadsLongPromptsThatArriveTogether() {
        List<Candidate> candidates = List.of(engine("one", "a", 1), engine("two", "a", 1));
        List<String> placed = new ArrayList<>();
        for (int call = 0; call < 4; call++) {
            Choice.Chosen choice = (Choice.Chosen) choose(candidates, demand(3_000));
            choice.candidate().load().sent(new Object(), 3_000, NOW);
            placed.add(choice.candidate().upstream().id());
        }
        assertThat(placed).containsExactlyInAnyOrder("one", "one", "two", "two");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void keepsRequestsFromOldWeightsOnceTheirTimeIsOver(long version) {
        List<Candidate> candidates = List.of(engine("engine", "a", version));
        Demand demand = new Demand(Optional.of(new PromptShape("m", 500, 80)), Set.of(), OptionalLong.of(2), false);
        Choice choice = choose(candidates, demand);
        assertThat(choice instanceof Choice.Chosen).isEqualTo(version >= 2);
    }

    @Test
    void sendsNothingToEnginesThatLoadOrRest() {
        Candidate loading = engine("loading", "a", 1);
        loading.load().reported(new LoadReport(0, 0, 0, 1, true, Optional.empty(), held(1)), NOW);
        Candidate resting = engine("resting", "a", 1);
        resting.load().failed(NOW);
        resting.load().failed(NOW);
        assertThat(choose(List.of(loading, resting), demand(100))).isEqualTo(new Choice.Full(2));
    }

    @Test
    void saysAtOnceThatNothingCanServeAPromptLargerThanTheMemory() {
        assertThat(choose(List.of(engine("engine", "a", 1)), demand(400_000))).isInstanceOf(Choice.Nowhere.class);
    }

    /** Sustained overload: those that are late already take no place from those that can be on time. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void keepsTheLastPlacesForThoseThatCanBeOnTime(boolean late) {
        Candidate nearlyFull = engine("engine", "a", 1);
        nearlyFull.load().reported(new LoadReport(14, 0, 20_000, 1, false, Optional.empty(), held(1)), NOW);
        Demand demand = new Demand(Optional.of(new PromptShape("m", 500, 80)), Set.of(), OptionalLong.empty(), late);
        assertThat(choose(List.of(nearlyFull), demand) instanceof Choice.Chosen).isEqualTo(!late);
    }

    /** A version is rolled out: long answers would keep an engine from loading that is to load soon; short ones do not. */
    @ParameterizedTest
    @ValueSource(ints = {20, 250})
    void sendsShortAnswersToEnginesThatLoadSoon(int answerTokens) {
        Candidate soon = engine("soon", "a", 1);
        soon.load().reported(new LoadReport(0, 0, 0, 1, false, Optional.of(Duration.ofMillis(500)), held(1)), NOW);
        Candidate later = engine("later", "a", 1);
        later.load().reported(new LoadReport(4, 0, 4_000, 1, false, Optional.empty(), held(1)), NOW);
        Demand demand =
                new Demand(Optional.of(new PromptShape("m", 300, answerTokens)), Set.of(), OptionalLong.empty(), false);
        assertThat(chosen(List.of(soon, later), demand)).isEqualTo(answerTokens < 100 ? "soon" : "later");
    }

    /** After a loss of power: entries in the store still tell what engines held before; their slot processes know better. */
    @Test
    void waitsForWordOfAnEngineThatItHasJustHeardOf() {
        UpstreamLoad unheard = new UpstreamLoad(NOW);
        List<Candidate> candidates =
                List.of(new Candidate(engine("engine", "a", 1).upstream(), unheard));
        assertThat(choose(candidates, demand(500))).isEqualTo(new Choice.Coming(1));
        unheard.reported(new LoadReport(0, 0, 0, 1, false, Optional.empty(), held(1)), NOW);
        assertThat(choose(candidates, demand(500))).isInstanceOf(Choice.Chosen.class);
    }

    /**
     * All VMs lost power: the store still holds entries of engines that have started again under other names, and they
     * would refuse whatever is meant for those. The new entries are a second away.
     */
    @Test
    void waitsForTheEntryOfAnEngineThatHasStartedAgain() {
        Candidate old = engine("old", "a", 1);
        old.load().otherLifeReported(NOW);
        assertThat(choose(List.of(old), demand(500))).isEqualTo(new Choice.Coming(1));
        old.load().reported(new LoadReport(0, 0, 0, 1, false, Optional.empty(), held(1)), NOW);
        assertThat(choose(List.of(old), demand(500))).isInstanceOf(Choice.Chosen.class);
    }

    /** Engines without the wanted weights that do not load yet: a wait would be in vain. */
    @Test
    void saysAtOnceThatNobodyCanServeWhileNoEngineLoads() {
        List<Candidate> candidates = List.of(engine("engine", "a", 1));
        Demand demand = new Demand(Optional.of(new PromptShape("m", 500, 80)), Set.of(), OptionalLong.of(2), false);
        assertThat(choose(candidates, demand)).isInstanceOf(Choice.Nowhere.class);
        candidates.get(0).load().reported(new LoadReport(0, 0, 0, 1, true, Optional.empty(), held(1)), NOW);
        assertThat(choose(candidates, demand)).isEqualTo(new Choice.Coming(1));
    }

    /**
     * The first engine with new weights, for which requests wait at all entries: what all of them send before they hear
     * again does not exceed its places, so that nothing waits there until its time for these weights is over.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 8, 16})
    void takesOnlyItsPartOfTheFreePlacesBetweenTwoReports(int entries) {
        int sent = 0;
        for (int entry = 0; entry < entries; entry++) {
            Placement own = Placement.create("a", () -> entries, entry);
            Candidate first = engine("first", "a", 1);
            first.load().reported(new LoadReport(0, 0, 0, 1, false, Optional.empty(), held(1)), NOW);
            while (own.choose(List.of(first), Optional.of(FIGURES), demand(500), NOW) instanceof Choice.Chosen) {
                first.load().sent(new Object(), 500, NOW);
                sent++;
            }
        }
        assertThat(sent).isEqualTo(FIGURES.slots());
    }

    /** A VM freezes with its engine, which looks idle to nodes that go by their own requests: others are chosen. */
    @ParameterizedTest
    @CsvSource({"100, silent", "1100, other", "1500, other"})
    void avoidsAnEngineWhoseReportsHaveStopped(long ageMillis, String expected) {
        Candidate silent = engine("silent", "a", 1);
        long heard = NOW - Duration.ofMillis(ageMillis).toNanos();
        silent.load().reported(new LoadReport(2, 0, 2_000, 1, false, Optional.empty(), held(1)), heard);
        Candidate other = engine("other", "b", 1);
        other.load().reported(new LoadReport(8, 0, 8_000, 1, false, Optional.empty(), held(1)), NOW);
        assertThat(chosen(List.of(silent, other), demand(500))).isEqualTo(expected);
    }

    /** No node hears of an engine any more: together they send it no more than it has places. */
    @Test
    void takesOnlyItsPartOfAnEngineThatNobodyHearsOf() {
        Placement own = Placement.create("a", () -> 8, 1);
        Candidate silent = engine("silent", "a", 1);
        silent.load().reported(new LoadReport(2, 0, 2_000, 1, false, Optional.empty(), held(1)), NOW - 2_000_000_000L);
        int sent = 0;
        while (own.choose(List.of(silent), Optional.of(FIGURES), demand(500), NOW) instanceof Choice.Chosen) {
            silent.load().sent(new Object(), 500, NOW);
            sent++;
        }
        assertThat(sent).isEqualTo(FIGURES.slots() / 8);
    }

    private String chosen(List<Candidate> candidates, Demand demand) {
        return ((Choice.Chosen) choose(candidates, demand))
                .candidate()
                .upstream()
                .id();
    }

    private Choice choose(List<Candidate> candidates, Demand demand) {
        return placement.choose(candidates, Optional.of(FIGURES), demand, NOW);
    }

    private static Demand demand(int promptTokens) {
        return new Demand(Optional.of(new PromptShape("m", promptTokens, 80)), Set.of(), OptionalLong.empty(), false);
    }

    private static Candidate engine(String id, String zone, long version) {
        Upstream upstream =
                new Upstream(id, "s", new WireAddress("10.0.0.1", 80), zone, 16, false, held(version), 0, 1);
        return new Candidate(upstream, new UpstreamLoad(NOW - LONG_AGO));
    }

    private static Optional<HeldWeights> held(long version) {
        return Optional.of(new HeldWeights("m", version));
    }
}

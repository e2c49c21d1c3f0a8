package org.galenahinge.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.galenahinge.catalog.EngineProfile;
import org.galenahinge.upstream.Upstream;
import org.galenahinge.upstream.WeightsVersion;
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
    void prefersItsOwnFailureDomainAtEqualLoad() {
        List<PlacementCandidate> candidates = List.of(engine("far", "b", 1), engine("near", "a", 1));
        assertThat(chosen(candidates, request(500))).isEqualTo("near");
    }

    @Test
    void usesAnotherFailureDomainWhenItsOwnIsFull() {
        PlacementCandidate near = engine("near", "a", 1);
        near.load().recordReport(new LoadReport(16, 0, 20_000, 1, false, Optional.empty(), weights(1)), NOW);
        assertThat(chosen(List.of(engine("far", "b", 1), near), request(500))).isEqualTo("far");
    }

    /** Several long prompts prefilled one after the other on one engine would delay all requests that decode there. */
    @Test
    void spreadsLongPromptsThatArriveTogether() {
        List<PlacementCandidate> candidates = List.of(engine("one", "a", 1), engine("two", "a", 1));
        List<String> placed = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            PlacementDecision.Chosen chosen = (PlacementDecision.Chosen) choose(candidates, request(3_000));
            chosen.candidate().load().recordSent(new Object(), 3_000, NOW);
            placed.add(chosen.candidate().upstream().id());
        }
        assertThat(placed).containsExactlyInAnyOrder("one", "one", "two", "two");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void avoidsWeightsBelowTheMinimumVersion(long version) {
        List<PlacementCandidate> candidates = List.of(engine("engine", "a", version));
        PlacementRequest request =
                new PlacementRequest(Optional.of(new PromptShape("m", 500, 80)), Set.of(), OptionalLong.of(2), false);
        PlacementDecision decision = choose(candidates, request);
        assertThat(decision instanceof PlacementDecision.Chosen).isEqualTo(version >= 2);
    }

    @Test
    void sendsNothingToEnginesThatLoadOrBackOff() {
        PlacementCandidate loading = engine("loading", "a", 1);
        loading.load().recordReport(new LoadReport(0, 0, 0, 1, true, Optional.empty(), weights(1)), NOW);
        PlacementCandidate backingOff = engine("backingOff", "a", 1);
        backingOff.load().recordFailure(NOW);
        backingOff.load().recordFailure(NOW);
        assertThat(choose(List.of(loading, backingOff), request(100))).isEqualTo(new PlacementDecision.Full(2));
    }

    /** A cold upstream is used when it is much faster, or has a free slot and no warm one has, and more as it warms up. */
    @ParameterizedTest
    @CsvSource({"1, false, warm", "0.5, false, warm", "0, false, cold", "1, true, cold"})
    void prefersWarmUpstreamsWithFreeSlots(double coldShare, boolean warmIsFull, String expected) {
        Placement.UpstreamLimit limit = new Placement.UpstreamLimit() {
            @Override
            public boolean allows(Upstream upstream, long nowNanos) {
                return true;
            }

            @Override
            public double coldShare(Upstream upstream, long nowNanos) {
                return upstream.id().equals("cold") ? coldShare : 0;
            }
        };
        PlacementCandidate warm = engine("warm", "b", 1);
        // A node that uses little of its share may claim one slot beyond those of the engine.
        int running = warmIsFull ? 17 : 0;
        warm.load().recordReport(new LoadReport(running, 0, 0, 1, false, Optional.empty(), weights(1)), NOW);
        List<PlacementCandidate> candidates = List.of(engine("cold", "a", 1), warm);
        PlacementDecision choice = Placement.create("a", () -> 1, limit, 1)
                .choose(new ServiceUpstreams(candidates, Optional.of(FIGURES)), request(500), NOW);
        assertThat(((PlacementDecision.Chosen) choice).candidate().upstream().id())
                .isEqualTo(expected);
    }

    /** Guards against a request to an upstream that wants none, whichever free slots its reports show. */
    @Test
    void avoidsAnUpstreamThatWantsNoRequests() {
        PlacementCandidate near = engine("near", "a", 1);
        near.load().recordRetryAfter(Duration.ofSeconds(2), 0, NOW);
        near.load().recordReport(new LoadReport(0, 0, 0, 1, false, Optional.empty(), weights(1)), NOW);
        List<PlacementCandidate> candidates = List.of(near, engine("far", "b", 1));
        assertThat(chosen(candidates, request(500))).isEqualTo("far");
        assertThat(placement.returnNanos(new ServiceUpstreams(candidates, Optional.of(FIGURES)), NOW))
                .isEmpty();
    }

    /** Guards against a request that is rejected by one returning upstream after the other. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void prefersAnotherUpstreamForARetryThatOneMayStillReject(boolean isRetry) {
        PlacementCandidate returning = engine("returning", "a", 1);
        returning
                .load()
                .recordRetryAfter(
                        Duration.ofSeconds(2), 0, NOW - Duration.ofSeconds(3).toNanos());
        Set<String> excluded = isRetry ? Set.of("rejecting") : Set.of();
        PlacementRequest request =
                new PlacementRequest(Optional.of(new PromptShape("m", 500, 80)), excluded, OptionalLong.empty(), false);
        assertThat(chosen(List.of(returning, engine("far", "b", 1)), request)).isEqualTo(isRetry ? "far" : "returning");
        assertThat(chosen(List.of(returning), request)).isEqualTo("returning");
    }

    @Test
    void returnsToTheFirstOfTheUpstreamsThatAllWantNoRequests() {
        PlacementCandidate sooner = engine("sooner", "a", 1);
        sooner.load().recordRetryAfter(Duration.ofSeconds(2), 0, NOW);
        PlacementCandidate later = engine("later", "a", 1);
        later.load().recordRetryAfter(Duration.ofSeconds(3), 0, NOW);
        List<PlacementCandidate> candidates = List.of(later, sooner);
        long returnNanos = NOW + Duration.ofSeconds(2).toNanos();
        assertThat(choose(candidates, request(500))).isEqualTo(new PlacementDecision.Paused(returnNanos));
        assertThat(placement.returnNanos(new ServiceUpstreams(candidates, Optional.of(FIGURES)), NOW))
                .hasValue(returnNanos);
    }

    /** An upstream that is about to start may take requests before those that want none for a time. */
    @Test
    void waitsForAnEngineThatStartsWhileTheOthersWantNoRequests() {
        PlacementCandidate paused = engine("paused", "a", 1);
        paused.load().recordRetryAfter(Duration.ofSeconds(2), 0, NOW);
        PlacementCandidate starting =
                new PlacementCandidate(engine("starting", "a", 1).upstream(), new UpstreamLoad(NOW));
        assertThat(choose(List.of(paused, starting), request(500))).isEqualTo(new PlacementDecision.StartingUp(1));
    }

    @Test
    void isUnavailableForAPromptLargerThanTheMemory() {
        assertThat(choose(List.of(engine("engine", "a", 1)), request(400_000)))
                .isInstanceOf(PlacementDecision.Unavailable.class);
    }

    /** Under sustained overload, requests that are late already must not use the slots of those that can be on time. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reservesTheLastSlotsForRequestsThatCanBeOnTime(boolean late) {
        PlacementCandidate nearlyFull = engine("engine", "a", 1);
        nearlyFull.load().recordReport(new LoadReport(14, 0, 20_000, 1, false, Optional.empty(), weights(1)), NOW);
        PlacementRequest request =
                new PlacementRequest(Optional.of(new PromptShape("m", 500, 80)), Set.of(), OptionalLong.empty(), late);
        assertThat(choose(List.of(nearlyFull), request) instanceof PlacementDecision.Chosen)
                .isEqualTo(!late);
    }

    /** During a rollout, a long response would delay the scheduled reload of an engine; a short one does not. */
    @ParameterizedTest
    @ValueSource(ints = {20, 250})
    void sendsShortRequestsToEnginesThatReloadSoon(int outputTokens) {
        PlacementCandidate soon = engine("soon", "a", 1);
        soon.load()
                .recordReport(new LoadReport(0, 0, 0, 1, false, Optional.of(Duration.ofMillis(500)), weights(1)), NOW);
        PlacementCandidate later = engine("later", "a", 1);
        later.load().recordReport(new LoadReport(4, 0, 4_000, 1, false, Optional.empty(), weights(1)), NOW);
        PlacementRequest request = new PlacementRequest(
                Optional.of(new PromptShape("m", 300, outputTokens)), Set.of(), OptionalLong.empty(), false);
        assertThat(chosen(List.of(soon, later), request)).isEqualTo(outputTokens < 100 ? "soon" : "later");
    }

    /** After a power loss the upstream records may describe weights that engines no longer have, until the first report. */
    @Test
    void waitsForTheFirstReportOfANewEngine() {
        UpstreamLoad unreported = new UpstreamLoad(NOW);
        List<PlacementCandidate> candidates =
                List.of(new PlacementCandidate(engine("engine", "a", 1).upstream(), unreported));
        assertThat(choose(candidates, request(500))).isEqualTo(new PlacementDecision.StartingUp(1));
        unreported.recordReport(new LoadReport(0, 0, 0, 1, false, Optional.empty(), weights(1)), NOW);
        assertThat(choose(candidates, request(500))).isInstanceOf(PlacementDecision.Chosen.class);
    }

    /**
     * After a power loss of all VMs the store still holds the records of earlier incarnations, and the engines, restarted
     * under new ids, reject requests addressed to the old ones. The new records appear within about a second.
     */
    @Test
    void waitsForTheRecordOfARestartedEngine() {
        PlacementCandidate old = engine("old", "a", 1);
        old.load().recordOtherIncarnation(NOW);
        assertThat(choose(List.of(old), request(500))).isEqualTo(new PlacementDecision.StartingUp(1));
        old.load().recordReport(new LoadReport(0, 0, 0, 1, false, Optional.empty(), weights(1)), NOW);
        assertThat(choose(List.of(old), request(500))).isInstanceOf(PlacementDecision.Chosen.class);
    }

    /** A request is not kept waiting for weights that no engine has and no engine is loading. */
    @Test
    void isUnavailableWhileNoEngineLoads() {
        List<PlacementCandidate> candidates = List.of(engine("engine", "a", 1));
        PlacementRequest request =
                new PlacementRequest(Optional.of(new PromptShape("m", 500, 80)), Set.of(), OptionalLong.of(2), false);
        assertThat(choose(candidates, request)).isInstanceOf(PlacementDecision.Unavailable.class);
        candidates.get(0).load().recordReport(new LoadReport(0, 0, 0, 1, true, Optional.empty(), weights(1)), NOW);
        assertThat(choose(candidates, request)).isEqualTo(new PlacementDecision.StartingUp(1));
    }

    /**
     * Requests for new weights wait at all entries until the first engine has them. What all entries send before its next
     * report must not exceed its slots; otherwise requests would queue there until their time for these weights is over.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 8, 16})
    void usesOnlyItsShareOfTheFreeSlotsBetweenTwoReports(int entries) {
        int sent = 0;
        for (int entry = 0; entry < entries; entry++) {
            Placement entryPlacement = Placement.create("a", () -> entries, entry);
            PlacementCandidate first = engine("first", "a", 1);
            first.load().recordReport(new LoadReport(0, 0, 0, 1, false, Optional.empty(), weights(1)), NOW);
            while (entryPlacement.choose(service(first), request(500), NOW) instanceof PlacementDecision.Chosen) {
                first.load().recordSent(new Object(), 500, NOW);
                sent++;
            }
        }
        assertThat(sent).isEqualTo(FIGURES.slots());
    }

    /** An engine on a frozen VM looks idle to nodes that count only their own requests. */
    @ParameterizedTest
    @CsvSource({"100, overdue", "1100, other", "1500, other"})
    void avoidsAnEngineWithOverdueReports(long ageMillis, String expected) {
        PlacementCandidate overdue = engine("overdue", "a", 1);
        long reportedNanos = NOW - Duration.ofMillis(ageMillis).toNanos();
        overdue.load().recordReport(new LoadReport(2, 0, 2_000, 1, false, Optional.empty(), weights(1)), reportedNanos);
        PlacementCandidate other = engine("other", "b", 1);
        other.load().recordReport(new LoadReport(8, 0, 8_000, 1, false, Optional.empty(), weights(1)), NOW);
        assertThat(chosen(List.of(overdue, other), request(500))).isEqualTo(expected);
    }

    /** While no node gets reports of an engine, all nodes together send it no more requests than it has slots. */
    @Test
    void usesOnlyItsShareOfAnEngineWithoutReports() {
        Placement entryPlacement = Placement.create("a", () -> 8, 1);
        PlacementCandidate overdue = engine("overdue", "a", 1);
        overdue.load()
                .recordReport(
                        new LoadReport(2, 0, 2_000, 1, false, Optional.empty(), weights(1)), NOW - 2_000_000_000L);
        int sent = 0;
        while (entryPlacement.choose(service(overdue), request(500), NOW) instanceof PlacementDecision.Chosen) {
            overdue.load().recordSent(new Object(), 500, NOW);
            sent++;
        }
        assertThat(sent).isEqualTo(FIGURES.slots() / 8);
    }

    /** Guards against requests to an evacuated failure domain, however much better its upstreams are. */
    @Test
    void choosesNothingInAnEvacuatedFailureDomain() {
        PlacementCandidate busy = engine("busy", "a", 1);
        busy.load().recordReport(new LoadReport(15, 0, 20_000, 1, false, Optional.empty(), weights(1)), NOW);
        ServiceUpstreams service = service(engine("idle", "b", 1), busy);
        PlacementDecision.Chosen chosen =
                (PlacementDecision.Chosen) withoutDomainB().choose(service, request(500), NOW);
        assertThat(chosen.candidate()).isSameAs(busy);
        assertThat(withoutDomainB().withFreeSlot(service, service.candidates(), NOW))
                .containsExactly(busy);
    }

    /** Guards against a request that waits for a slot, a start or a named time of upstreams that get no requests. */
    @ParameterizedTest
    @ValueSource(strings = {"idle", "full", "starting", "paused"})
    void namesTheEvacuationWhenNoOtherUpstreamCanServe(String state) {
        PlacementCandidate evacuated = state.equals("starting")
                ? new PlacementCandidate(engine("starting", "b", 1).upstream(), new UpstreamLoad(NOW))
                : engine(state, "b", 1);
        if (state.equals("full")) {
            evacuated.load().recordReport(new LoadReport(16, 0, 20_000, 1, false, Optional.empty(), weights(1)), NOW);
        }
        if (state.equals("paused")) {
            evacuated.load().recordRetryAfter(Duration.ofSeconds(2), 0, NOW);
        }
        ServiceUpstreams service = service(evacuated);
        assertThat(withoutDomainB().choose(service, request(500), NOW))
                .isEqualTo(new PlacementDecision.Evacuated(new TreeSet<>(Set.of("b"))));
        assertThat(withoutDomainB().canServe(service, request(500), NOW)).isFalse();
        assertThat(withoutDomainB().returnNanos(service, NOW)).isEmpty();
        assertThat(placement.canServe(service, request(500), NOW)).isTrue();
    }

    /** Guards against a wrong reason where the evacuated upstreams could not serve the request anyway. */
    @Test
    void namesTheEvacuationOnlyIfItIsTheReason() {
        ServiceUpstreams service = service(engine("evacuated", "b", 1));
        assertThat(withoutDomainB().choose(service, request(400_000), NOW))
                .isInstanceOf(PlacementDecision.Unavailable.class);
        PlacementRequest tried = new PlacementRequest(
                Optional.of(new PromptShape("m", 500, 80)), Set.of("evacuated"), OptionalLong.empty(), false);
        assertThat(withoutDomainB().choose(service, tried, NOW)).isInstanceOf(PlacementDecision.Unavailable.class);
    }

    /** Guards against a rejection while an upstream elsewhere has no free slot, or asks for time. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void waitsForAnUpstreamThatIsNotEvacuated(boolean paused) {
        PlacementCandidate staying = engine("staying", "a", 1);
        staying.load()
                .recordReport(
                        new LoadReport(FIGURES.slots() + 1, 0, 20_000, 1, false, Optional.empty(), weights(1)), NOW);
        if (paused) {
            staying.load().recordRetryAfter(Duration.ofSeconds(2), 0, NOW);
        }
        long returnNanos = NOW + Duration.ofSeconds(2).toNanos();
        ServiceUpstreams service = service(staying, engine("evacuated", "b", 1));
        assertThat(withoutDomainB().choose(service, request(500), NOW))
                .isEqualTo(paused ? new PlacementDecision.Paused(returnNanos) : new PlacementDecision.Full(1));
        assertThat(withoutDomainB().returnNanos(service, NOW))
                .isEqualTo(paused ? OptionalLong.of(returnNanos) : OptionalLong.empty());
        assertThat(withoutDomainB().canServe(service, request(500), NOW)).isTrue();
    }

    /** Guards against slots of evacuated engines that count as this node's share, so that it claims those of others. */
    @ParameterizedTest
    @CsvSource({"7, true", "8, false"})
    void claimsSlotsByItsShareOfTheEnginesThatAreNotEvacuated(int own, boolean expected) {
        PlacementCandidate staying = engine("staying", "a", 1);
        PlacementCandidate evacuated = engine("evacuated", "b", 1);
        for (int request = 0; request < own; request++) {
            staying.load().recordSent(new Object(), 500, NOW);
        }
        for (int request = 0; request < FIGURES.slots(); request++) {
            evacuated.load().recordSent(new Object(), 500, NOW);
        }
        assertThat(service(staying, evacuated)
                        .mayClaimSlots(1, upstream -> !upstream.zone().equals("b"), NOW))
                .isEqualTo(expected);
    }

    private static Placement withoutDomainB() {
        return Placement.create(
                "a",
                () -> 1,
                (upstream, nowNanos) -> true,
                upstream -> !upstream.zone().equals("b"),
                UnaryOperator.identity(),
                1);
    }

    private String chosen(List<PlacementCandidate> candidates, PlacementRequest request) {
        return ((PlacementDecision.Chosen) choose(candidates, request))
                .candidate()
                .upstream()
                .id();
    }

    private PlacementDecision choose(List<PlacementCandidate> candidates, PlacementRequest request) {
        return placement.choose(new ServiceUpstreams(candidates, Optional.of(FIGURES)), request, NOW);
    }

    private static ServiceUpstreams service(PlacementCandidate... candidates) {
        return new ServiceUpstreams(List.of(candidates), Optional.of(FIGURES));
    }

    private static PlacementRequest request(int promptTokens) {
        return new PlacementRequest(
                Optional.of(new PromptShape("m", promptTokens, 80)), Set.of(), OptionalLong.empty(), false);
    }

    private static PlacementCandidate engine(String id, String zone, long version) {
        Upstream upstream =
                new Upstream(id, "s", new WireAddress("10.0.0.1", 80), zone, 16, false, weights(version), 0, 1);
        return new PlacementCandidate(upstream, new UpstreamLoad(NOW - LONG_AGO));
    }

    private static Optional<WeightsVersion> weights(long version) {
        return Optional.of(new WeightsVersion("m", version));
    }
}

package org.galenahinge.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.hash.Hashing;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.placement.LoadReport;
import org.galenahinge.supply.EngineControl;
import org.galenahinge.supply.EngineWeightsController;
import org.galenahinge.supply.LoadSchedule;
import org.galenahinge.supply.WeightsDigests;
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.VersionAges.AgedVersion;
import org.galenahinge.upstream.WeightsVersion;
import org.galenahinge.wire.WireAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LoadAnnouncerTest {
    private static final byte[] CHUNK = {1, 2, 3};
    private static final WeightsVersion NEXT = new WeightsVersion("m", 2);

    private final ManualTimers timers = new ManualTimers();
    private final EntryRoster roster = new EntryRoster("near", 1);
    private final FakeEngine engine = new FakeEngine();
    private final EngineWeightsController weightsController = EngineWeightsController.create(
            engine,
            failures -> Optional.empty(),
            Duration.ofSeconds(8),
            timers,
            EventLog.to("test", OutputStream.nullOutputStream(), new MetricRegistry()),
            new MetricRegistry());
    private final Map<String, Integer> reportCounts = new HashMap<>();
    private final Set<String> informedOfLoading = new HashSet<>();
    private final List<String> firstSlots = new ArrayList<>();
    private final List<AgedVersion> toldVersions = new ArrayList<>();
    private final LoadAnnouncer announcer = LoadAnnouncer.create(
            "near", new WireAddress("10.0.0.9", 80), roster, weightsController, this::send, timers);

    /**
     * With more entries, each one of another failure domain gets reports less often, so that the engine's VM sends no
     * more.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 16, 60})
    void limitsReportsToOtherFailureDomains(int others) {
        roster.update(entries(3, others));
        for (int report = 0; report < 40; report++) {
            announcer.announce(engine.state());
            timers.advance(Duration.ofMillis(100));
        }
        int remote = reportCounts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("far"))
                .mapToInt(Map.Entry::getValue)
                .sum();
        assertThat(reportCounts).containsEntry("near-0", 40);
        assertThat(remote).isBetween(1, 10 * 16);
        int minimumReports = 160 / Math.max(16, others);
        assertThat(reportCounts.values()).allMatch(count -> count >= minimumReports);
    }

    /**
     * Many entries in one failure domain: they get reports in turn, so that an engine's VM sends no more with more entries.
     */
    @ParameterizedTest
    @ValueSource(ints = {6, 22, 60})
    void limitsReportsInItsOwnFailureDomain(int local) {
        roster.update(entries(local, 0));
        for (int report = 0; report < 40; report++) {
            announcer.announce(engine.state());
            timers.advance(Duration.ofMillis(100));
        }
        int sent = reportCounts.values().stream().mapToInt(Integer::intValue).sum();
        assertThat(sent).isEqualTo(40 * 6);
        assertThat(reportCounts).hasSize(local);
        assertThat(reportCounts.values()).allMatch(count -> count >= sent / local);
    }

    /** Each free slot is given to one entry, and to another one with the next report. */
    @Test
    void sharesFreeSlotsAmongTheReceiversOfAReport() {
        roster.update(entries(3, 0));
        for (int report = 0; report < 3; report++) {
            announcer.announce(engine.state());
            timers.advance(Duration.ofMillis(100));
        }
        assertThat(firstSlots).hasSize(3).containsOnlyOnce("near-0", "near-1", "near-2");
    }

    /** An entry without the report that an engine loads still sends it requests, which wait until it has loaded. */
    @Test
    void announcesLoadingToAllEntriesBeforeTheLoadCommand() {
        roster.update(entries(3, 60));
        weightsController.onBeforeLoad(announcer::announceToAll);
        engine.onLoadCommand = () -> assertThat(informedOfLoading).hasSize(63);
        weightsController.setTarget(
                new WeightsDigests(
                        NEXT, List.of(Hashing.sha256().hashBytes(CHUNK).toString())),
                LoadSchedule.UNKNOWN);
        for (int report = 0; report < 5; report++) {
            weightsController.onReport(engine.state());
            announcer.announce(engine.state());
            timers.advance(Duration.ofMillis(100));
        }
        assertThat(engine.loadCommands).isEqualTo(1);
    }

    /** Guards against the age of a version being lost when all entries start again: slot processes tell them. */
    @ParameterizedTest
    @CsvSource({"3000, 0, 3000", "3000, 4000, 7000", "3000, 6000, -1"})
    void tellsEntriesHowLongAgoVersionsInRolloutWereNamed(long ageMillis, long laterMillis, long toldMillis) {
        roster.update(entries(1, 0));
        weightsController.setTarget(
                new WeightsDigests(
                        NEXT, List.of(Hashing.sha256().hashBytes(CHUNK).toString())),
                new LoadSchedule(List.of(NamedVersion.aged(2, Duration.ofMillis(ageMillis))), 1));
        timers.advance(Duration.ofMillis(laterMillis));
        announcer.announce(engine.state());
        List<AgedVersion> expected =
                toldMillis < 0 ? List.of() : List.of(new AgedVersion(NEXT, Duration.ofMillis(toldMillis)));
        assertThat(toldVersions).isEqualTo(expected);
    }

    private void send(NodeAddress entry, byte[] datagram) {
        reportCounts.merge(entry.name(), 1, Integer::sum);
        LoadCodec.UpstreamReport decoded =
                LoadCodec.decode(ByteBuffer.wrap(datagram)).orElseThrow();
        toldVersions.addAll(decoded.namedVersions());
        LoadReport report = decoded.report();
        if (report.loading()) {
            informedOfLoading.add(entry.name());
        }
        if (report.share().of(1) == 1) {
            firstSlots.add(entry.name());
        }
    }

    private static List<NodeAddress> entries(int local, int remote) {
        List<NodeAddress> entries = new ArrayList<>();
        for (int number = 0; number < local; number++) {
            entries.add(new NodeAddress("near-" + number, "near", "10.0.0.1", 80, 81, 82));
        }
        for (int number = 0; number < remote; number++) {
            entries.add(new NodeAddress("far-" + number, "far-" + number % 3, "10.0.0.2", 80, 81, 82));
        }
        return entries;
    }

    /** An engine that holds the first version, with the next one staged. */
    private static final class FakeEngine implements EngineControl {
        private int loadCommands;
        private Runnable onLoadCommand = () -> {};

        EngineReport state() {
            return new EngineReport(
                    0, 0, 0, 1, 1, loadCommands > 0, loadCommands, 7, 16, Optional.of(new WeightsVersion("m", 1)));
        }

        @Override
        public CompletionStage<EngineReport> report() {
            return CompletableFuture.completedFuture(state());
        }

        @Override
        public CompletionStage<Void> stage(String model, int number, byte[] content) {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Optional<byte[]>> readStaged(String model, int number) {
            return CompletableFuture.completedFuture(Optional.of(CHUNK));
        }

        @Override
        public CompletionStage<LoadResult> load(
                WeightsVersion weights, long expectedOrders, BooleanSupplier stillValid) {
            onLoadCommand.run();
            loadCommands++;
            return CompletableFuture.completedFuture(LoadResult.BEGUN);
        }
    }
}

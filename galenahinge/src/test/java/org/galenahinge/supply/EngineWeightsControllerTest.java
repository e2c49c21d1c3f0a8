package org.galenahinge.supply;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.galenahinge.concurrent.ManualTimers;
import org.galenahinge.log.EventLog;
import org.galenahinge.supply.EngineControl.EngineReport;
import org.galenahinge.supply.EngineControl.LoadResult;
import org.galenahinge.upstream.NamedVersion;
import org.galenahinge.upstream.WeightsVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EngineWeightsControllerTest {
    private static final int CHUNKS = 4;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    private final ManualTimers timers = new ManualTimers();
    private final FakeEngine engine = new FakeEngine();
    private final FakeSource source = new FakeSource();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final EventLog log = EventLog.to("test", logged, new MetricRegistry());
    private final EngineWeightsController controller = EngineWeightsController.create(
            engine, failures -> Optional.of(source), Duration.ofSeconds(8), timers, log, new MetricRegistry());

    @Test
    void anEngineWithoutWeightsLoadsAtOnce() {
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofMillis(300));
        assertThat(engine.loaded).containsExactly(1L);
    }

    @Test
    void aServingEngineLoadsAtItsScheduledTime() {
        engine.loadedVersion = 1;
        LoadSchedule schedule = new LoadSchedule(List.of(NamedVersion.aged(2, Duration.ofMillis(3_500))), 1);
        controller.setTarget(digests(2), schedule);
        report(Duration.ofSeconds(3));
        assertThat(engine.loaded).isEmpty();
        report(Duration.ofMillis(800));
        assertThat(engine.loaded).containsExactly(2L);
    }

    /**
     * A staged chunk that becomes corrupt before the scheduled load is detected and fetched again before the load
     * command.
     */
    @Test
    void readsChunksBackBeforeTheLoadCommand() {
        engine.loadedVersion = 1;
        LoadSchedule schedule = new LoadSchedule(List.of(NamedVersion.aged(2, Duration.ofMillis(3_500))), 1);
        controller.setTarget(digests(2), schedule);
        report(Duration.ofSeconds(1));
        engine.staged.put(2, "corrupt".getBytes(StandardCharsets.UTF_8));
        report(Duration.ofMillis(3_500));
        assertThat(engine.loaded).containsExactly(2L);
        assertThat(engine.stagedAtCommand.get(2)).isEqualTo(TestWeights.chunk(2, 2));
    }

    /**
     * Guards against loading a chunk that became corrupt while the process was suspended between verification and load
     * command. The first column counts by both clocks, the second one only by the time of day.
     */
    @ParameterizedTest
    @CsvSource({"3900, 0", "0, 3900", "3900, -3900", "0, -3900"})
    void doesNotLoadAChunkThatBecameCorruptWhileTheProcessWasSuspended(long bothMillis, long timeOfDayMillis) {
        awaitAnnouncedLoad();
        suspend(bothMillis, timeOfDayMillis);
        engine.staged.put(2, "corrupt".getBytes(StandardCharsets.UTF_8));
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(1L);
        assertThat(engine.stagedAtCommand.get(2)).isEqualTo(TestWeights.chunk(1, 2));
    }

    /** Guards against the same while the command waits for a connection to the engine. */
    @ParameterizedTest
    @CsvSource({"3900, 0", "0, 3900"})
    void doesNotLoadAChunkThatBecameCorruptWhileTheCommandWaited(long bothMillis, long timeOfDayMillis) {
        engine.beforeNextCommand = () -> {
            suspend(bothMillis, timeOfDayMillis);
            engine.staged.put(2, "corrupt".getBytes(StandardCharsets.UTF_8));
        };
        awaitAnnouncedLoad();
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(1L);
        assertThat(engine.stagedAtCommand.get(2)).isEqualTo(TestWeights.chunk(1, 2));
    }

    /** A time of day that is set costs an engine at most one more verification. */
    @ParameterizedTest
    @ValueSource(longs = {-86_400_000, -3_900, 3_900, 86_400_000})
    void loadsSoonAfterTheTimeOfDayWasSet(long stepMillis) {
        awaitAnnouncedLoad();
        timers.stepTimeOfDay(Duration.ofMillis(stepMillis));
        report(Duration.ofMillis(300));
        assertThat(engine.loaded).containsExactly(1L);
    }

    private void awaitAnnouncedLoad() {
        AtomicBoolean announced = new AtomicBoolean();
        controller.onBeforeLoad(ignored -> announced.set(true));
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        for (int step = 0; step < 100 && !announced.get(); step++) {
            controller.onReport(engine.state());
            timers.advance(Duration.ofMillis(1));
        }
        assertThat(announced).isTrue();
        assertThat(engine.loaded).isEmpty();
    }

    private void suspend(long bothMillis, long timeOfDayMillis) {
        timers.standStill(Duration.ofMillis(bothMillis));
        timers.stepTimeOfDay(Duration.ofMillis(timeOfDayMillis));
    }

    /** Guards against a staging that completes once for each chunk where the engine responds at once. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void announcesALoadOnce(long version) {
        AtomicInteger announced = new AtomicInteger();
        controller.onBeforeLoad(ignored -> announced.incrementAndGet());
        controller.setTarget(digests(version), LoadSchedule.UNKNOWN);
        report(Duration.ofSeconds(2));
        assertThat(engine.loaded).containsExactly(version);
        assertThat(announced).hasValue(1);
    }

    @Test
    void doesNotStageCorruptChunks() {
        source.corruptChunks = 3;
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofSeconds(2));
        assertThat(engine.loaded).containsExactly(1L);
        assertThat(source.corruptChunks).isZero();
    }

    /** Guards against a damaged digest that an entry told and that is kept for good: no chunk ever matches it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3})
    void readsADamagedManifestAgain(int damaged) {
        controller.setTarget(TestWeights.damagedDigests(1, CHUNKS, damaged), LoadSchedule.UNKNOWN);
        report(Duration.ofSeconds(2));
        assertThat(engine.loaded).containsExactly(1L);
    }

    @Test
    void aNewerTargetReplacesTheOlderOne() {
        source.responds = false;
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofMillis(200));
        source.responds = true;
        controller.setTarget(digests(2), LoadSchedule.UNKNOWN);
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(2L);
    }

    /**
     * While the newest version is unavailable the one before is loaded; the newest follows when it is available again.
     */
    @Test
    void loadsAnOlderVersionWhileTheNewestIsUnavailable() {
        LoadSchedule schedule = new LoadSchedule(
                List.of(NamedVersion.aged(2, Duration.ofSeconds(6)), NamedVersion.aged(3, Duration.ofSeconds(4))), 0);
        engine.loadedVersion = 1;
        controller.setTarget(digests(3), schedule);
        source.responds = false;
        report(Duration.ofMillis(200));
        source.responds = true;
        controller.setTarget(digests(2), schedule);
        report(Duration.ofSeconds(1));
        controller.setTarget(digests(3), schedule);
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(2L, 3L);
    }

    /**
     * A version that is named while the engine loads the one before is loaded afterwards, instead of waiting for ever.
     */
    @Test
    void loadsAVersionThatIsNamedDuringALoad() {
        engine.finishLoadsManually = true;
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofMillis(300));
        assertThat(engine.loaded).containsExactly(1L);
        controller.setTarget(digests(2), new LoadSchedule(List.of(NamedVersion.aged(2, Duration.ZERO)), 0));
        report(Duration.ofMillis(300));
        engine.finishLoad();
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(1L, 2L);
    }

    /** An engine may accept a load command and drop it; the command is sent again. */
    @Test
    void sendsALoadCommandWithoutEffectAgain() {
        engine.dropNextCommand = true;
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofSeconds(4));
        assertThat(engine.loaded).containsExactly(1L);
    }

    /** An entry that does not know the newest version yet does not take an engine back to an older one. */
    @Test
    void ignoresATargetFromAnEntryWithOlderFacts() {
        controller.setTarget(digests(2), new LoadSchedule(List.of(NamedVersion.aged(2, Duration.ZERO)), 0));
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(2L);
    }

    /** Guards against engines that load late since they asked an entry which had heard late that the version was named. */
    @ParameterizedTest
    @CsvSource({"5000, 0, true", "5000, 0, false", "0, 5000, true", "0, 5000, false"})
    void loadsByTheLongestAgeThatAnyEntryHasTold(long firstMillis, long secondMillis, boolean stagedBetween) {
        engine.loadedVersion = 1;
        engine.stagingDelay = Duration.ofMillis(stagedBetween ? 0 : 300);
        controller.setTarget(digests(2), scheduleOf(2, Duration.ofMillis(firstMillis)));
        report(Duration.ofMillis(400));
        controller.setTarget(digests(2), scheduleOf(2, Duration.ofMillis(secondMillis)));
        report(Duration.ofMillis(2_200));
        assertThat(engine.loaded).contains(2L);
    }

    /**
     * Guards against an engine that loads late by the time for which its VM was suspended: an entry that tells the age, with the
     * target or without, brings the load forward.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void loadsInTimeAfterASuspensionOnceAnEntryTellsTheAge(boolean withTarget) {
        engine.loadedVersion = 1;
        controller.setTarget(digests(2), scheduleOf(2, Duration.ZERO));
        report(Duration.ofSeconds(2));
        timers.stepTimeOfDay(Duration.ofSeconds(4));
        LoadSchedule told = scheduleOf(2, Duration.ofSeconds(6));
        if (withTarget) {
            controller.setTarget(digests(2), told);
        } else {
            controller.updateSchedule(told);
        }
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(2L);
    }

    /** An entry that does not know how old a version is does not make an engine wait, nor does the engine tell others. */
    @Test
    void loadsAtOnceWhileNobodyHasToldTheAge() {
        engine.loadedVersion = 1;
        LoadSchedule unknown = new LoadSchedule(List.of(new NamedVersion(2, Duration.ofDays(1), false)), 1);
        controller.setTarget(digests(2), unknown);
        assertThat(controller.versionsInRollout()).isEmpty();
        report(Duration.ofMillis(400));
        assertThat(engine.loaded).containsExactly(2L);
    }

    /** Guards against an engine that restarts without weights and waits for the time at which it was to stop serving. */
    @Test
    void anEngineThatRestartsWithoutWeightsLoadsAtOnce() {
        engine.loadedVersion = 1;
        controller.setTarget(digests(2), scheduleOf(2, Duration.ZERO));
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).isEmpty();
        engine.restart();
        report(Duration.ofSeconds(1));
        assertThat(engine.loaded).containsExactly(2L);
    }

    /** Guards against a late load of an engine that was told of two versions, the older one by another entry. */
    @Test
    void loadsInTimeForTheFirstVersionThatItLacks() {
        engine.loadedVersion = 1;
        controller.setTarget(digests(2), scheduleOf(2, Duration.ofSeconds(5)));
        controller.setTarget(digests(3), scheduleOf(3, Duration.ZERO));
        report(Duration.ofSeconds(2));
        assertThat(engine.loaded).containsExactly(3L);
    }

    /** The time counts from when the engine stops to serve, 100 ms before the command, to the report with the version. */
    @ParameterizedTest
    @CsvSource({"300, 400", "1300, 1400", "2200, 2300"})
    void logsHowLongALoadTook(long loadMillis, long expectedMillis) {
        engine.loadedVersion = 1;
        engine.loadTime = Duration.ofMillis(loadMillis);
        controller.setTarget(digests(2), scheduleOf(2, Duration.ofSeconds(8)));
        report(Duration.ofSeconds(4));
        log.close();
        assertThat(logged.toString(StandardCharsets.UTF_8))
                .containsOnlyOnce("\"weights_in_use\"")
                .containsOnlyOnce("\"load_ms\":" + expectedMillis);
    }

    private static LoadSchedule scheduleOf(long version, Duration age) {
        return new LoadSchedule(List.of(NamedVersion.aged(version, age)), 1);
    }

    private void report(Duration duration) {
        for (long elapsed = 0; elapsed < duration.toMillis(); elapsed += 100) {
            controller.onReport(engine.state());
            timers.advance(Duration.ofMillis(100));
        }
    }

    private static WeightsDigests digests(long version) {
        return TestWeights.digests(version, CHUNKS);
    }

    /**
     * Guards against chunks of the next version that are staged while a load command without a response may still be accepted:
     * the engine would load chunks of two versions.
     */
    @ParameterizedTest
    @ValueSource(longs = {1_050, 1_200, 1_500, 3_000, 10_000})
    void stagesNoOtherVersionWhileALoadCommandMayStillBeAccepted(long acceptedAfterMillis) {
        engine.acceptNextCommandAfter = Optional.of(Duration.ofMillis(acceptedAfterMillis));
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofMillis(400));
        engine.stagingDelay = Duration.ofMillis(300);
        controller.setTarget(digests(2), LoadSchedule.UNKNOWN);
        report(Duration.ofSeconds(20));
        assertThat(engine.mixedLoads).isEmpty();
        assertThat(engine.loadedVersion).isEqualTo(2);
    }

    /** Guards against an engine that stays on an older version since it ended before it accepted a load command. */
    @Test
    void stagesTheTargetOnceTheEngineThatMayStillAcceptAnotherHasEnded() {
        engine.acceptNextCommandAfter = Optional.of(Duration.ofSeconds(30));
        controller.setTarget(digests(1), LoadSchedule.UNKNOWN);
        report(Duration.ofMillis(400));
        controller.setTarget(digests(2), LoadSchedule.UNKNOWN);
        engine.restart();
        report(Duration.ofSeconds(3));
        assertThat(engine.loaded).containsExactly(2L);
    }

    private static final class FakeSource implements WeightsSource {
        private boolean responds = true;
        private int corruptChunks;

        @Override
        public CompletionStage<WeightsDigests> manifest(WeightsVersion weights) {
            return CompletableFuture.completedFuture(digests(weights.version()));
        }

        @Override
        public CompletionStage<byte[]> chunk(WeightsVersion weights, int number) {
            if (!responds) {
                return new CompletableFuture<>();
            }
            if (corruptChunks > 0) {
                corruptChunks--;
                return CompletableFuture.completedFuture(new byte[] {1});
            }
            return CompletableFuture.completedFuture(TestWeights.chunk(weights.version(), number));
        }

        @Override
        public boolean isOrigin() {
            return false;
        }

        @Override
        public String name() {
            return "fake";
        }
    }

    private final class FakeEngine implements EngineControl {
        private final Map<Integer, byte[]> staged = new HashMap<>();
        private final List<Long> loaded = new ArrayList<>();
        private final List<Long> mixedLoads = new ArrayList<>();
        private Map<Integer, byte[]> stagedAtCommand = Map.of();
        private Optional<Duration> acceptNextCommandAfter = Optional.empty();
        private long loadedVersion;
        private long acceptedCommands;
        private long loadingVersion;
        private long incarnation = 7;
        private boolean finishLoadsManually;
        private boolean dropNextCommand;
        private Runnable beforeNextCommand = () -> {};
        private Duration stagingDelay = Duration.ZERO;
        private Duration loadTime = Duration.ZERO;

        EngineReport state() {
            Optional<WeightsVersion> weights =
                    loadedVersion == 0 ? Optional.empty() : Optional.of(new WeightsVersion("m", loadedVersion));
            return new EngineReport(0, 0, 0, 1, 1, loadingVersion > 0, acceptedCommands, incarnation, 16, weights);
        }

        @Override
        public CompletionStage<EngineReport> report() {
            return CompletableFuture.completedFuture(state());
        }

        @Override
        public CompletionStage<Void> stage(String model, int number, byte[] content) {
            staged.put(number, content);
            CompletableFuture<Void> done = new CompletableFuture<>();
            timers.schedule(stagingDelay, () -> done.complete(null));
            return done;
        }

        @Override
        public CompletionStage<Optional<byte[]>> readStaged(String model, int number) {
            return CompletableFuture.completedFuture(Optional.ofNullable(staged.get(number)));
        }

        @Override
        public CompletionStage<LoadResult> load(
                WeightsVersion weights, long expectedCommands, BooleanSupplier stillValid) {
            Runnable before = beforeNextCommand;
            beforeNextCommand = () -> {};
            before.run();
            if (!stillValid.getAsBoolean()) {
                return CompletableFuture.failedFuture(new SupplyException("not sent"));
            }
            if (acceptNextCommandAfter.isPresent()) {
                return acceptLate(weights, expectedCommands);
            }
            return CompletableFuture.completedFuture(accept(weights, expectedCommands));
        }

        /** Accepts a command after its sender has given up waiting for a response. */
        private CompletionStage<LoadResult> acceptLate(WeightsVersion weights, long expectedCommands) {
            long startedIn = incarnation;
            timers.schedule(acceptNextCommandAfter.orElseThrow(), () -> {
                if (startedIn == incarnation) {
                    accept(weights, expectedCommands);
                }
            });
            acceptNextCommandAfter = Optional.empty();
            CompletableFuture<LoadResult> response = new CompletableFuture<>();
            timers.schedule(
                    RESPONSE_TIMEOUT, () -> response.completeExceptionally(new SupplyException("no response in time")));
            return response;
        }

        private LoadResult accept(WeightsVersion weights, long expectedCommands) {
            if (expectedCommands != acceptedCommands) {
                return LoadResult.CONFLICT;
            }
            acceptedCommands++;
            if (dropNextCommand) {
                dropNextCommand = false;
                return LoadResult.BEGUN;
            }
            loaded.add(weights.version());
            stagedAtCommand = Map.copyOf(staged);
            boolean mixed = IntStream.range(0, CHUNKS)
                    .anyMatch(
                            number -> !Arrays.equals(staged.get(number), TestWeights.chunk(weights.version(), number)));
            if (mixed) {
                mixedLoads.add(weights.version());
            }
            if (finishLoadsManually) {
                loadingVersion = weights.version();
            } else if (!loadTime.isZero()) {
                loadingVersion = weights.version();
                timers.schedule(loadTime, this::finishLoad);
            } else {
                loadedVersion = weights.version();
            }
            return LoadResult.BEGUN;
        }

        void restart() {
            incarnation++;
            loadedVersion = 0;
            acceptedCommands = 0;
        }

        void finishLoad() {
            finishLoadsManually = false;
            loadedVersion = loadingVersion;
            loadingVersion = 0;
        }
    }
}

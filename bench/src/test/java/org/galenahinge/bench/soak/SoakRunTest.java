package org.galenahinge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs entries under load as processes: stops them with signals again, and names versions of weights among faults. */
final class SoakRunTest {
    private static final long SEED = 1;
    private static final int ENTRIES = 2;
    private static final int CALLERS = 10;

    /** Of these draws, engines are suspended before they have loaded a version, until after its time. */
    private static final long ROLLOUT_SEED = 8;

    private static final int ROLLOUT_ENTRIES = 3;
    private static final int ROLLOUT_CALLERS = 40;

    @TempDir
    private Path logs;

    @Test
    void keepsPromisesAtStopWithSignalsAgain() throws Exception {
        assertKeepsPromises(new SoakRun.Settings(
                SEED, Scenario.AGAIN, ENTRIES, CALLERS, Duration.ZERO, EntryCommand.ofClassPath(), logs));
    }

    // Guards against requests that lie in the socket of a suspended VM and begin on an older version after its time.
    @Test
    void beginsNothingOnAnOlderVersionAtSuspendedEngines() throws Exception {
        assertKeepsPromises(new SoakRun.Settings(
                ROLLOUT_SEED,
                Scenario.ROLLOUT,
                ROLLOUT_ENTRIES,
                ROLLOUT_CALLERS,
                Duration.ZERO,
                EntryCommand.ofClassPath(),
                logs));
    }

    private static void assertKeepsPromises(SoakRun.Settings settings) throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        try (SoakRun run = new SoakRun(settings, lines::add)) {
            assertThat(run.run()).as(String.join("\n", lines)).isTrue();
        }
    }
}

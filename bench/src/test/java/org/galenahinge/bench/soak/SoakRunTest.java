package org.galenahinge.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Stops two entries under load as processes, with a signal again while they stop. */
final class SoakRunTest {
    private static final long SEED = 1;
    private static final int ENTRIES = 2;
    private static final int CALLERS = 10;

    @TempDir
    private Path logs;

    @Test
    void keepsPromisesAtStopWithSignalsAgain() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        SoakRun.Settings settings = new SoakRun.Settings(
                SEED, Scenario.AGAIN, ENTRIES, CALLERS, Duration.ZERO, EntryCommand.ofClassPath(), logs);
        try (SoakRun run = new SoakRun(settings, lines::add)) {
            assertThat(run.run()).as(String.join("\n", lines)).isTrue();
        }
    }
}

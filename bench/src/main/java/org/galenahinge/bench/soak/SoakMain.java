package org.galenahinge.bench.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Soaks entries. Exits with 0 when every promise was kept, 1 when one was broken, 2 on bad flags. */
public final class SoakMain {
    private static final int EXIT_BROKEN_PROMISE = 1;
    private static final int EXIT_BAD_FLAGS = 2;
    private static final int LEAST_ENTRIES = 2;
    private static final int MOST_ENTRIES = 20;
    private static final int MOST_CALLERS = 500;
    private static final int MOST_BUSY_THREADS = 64;

    private SoakMain() {}

    /**
     * Runs the soak.
     *
     * @param arguments flags; {@code --help} lists them
     * @throws IOException if the logs cannot be written or a port cannot be bound
     * @throws InterruptedException if this thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        ArgumentParser parser = parser();
        try {
            System.exit(run(parser.parseArgs(arguments)));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(e instanceof HelpScreenException ? 0 : EXIT_BAD_FLAGS);
        }
    }

    private static int run(Namespace flags) throws IOException, InterruptedException {
        Path home = Path.of(System.getProperty("galenahinge.home", ".")).toAbsolutePath();
        Path logs = flags.getString("logs") == null
                ? Files.createTempDirectory("galenahinge-soak")
                : Files.createDirectories(Path.of(flags.getString("logs"))).toAbsolutePath();
        System.out.println("logs in " + logs);
        startBusyThreads(flags.getInt("busy_threads"));
        List<Long> broken = new ArrayList<>();
        long firstSeed = flags.getLong("seed");
        for (long seed = firstSeed; seed < firstSeed + flags.getInt("seeds"); seed++) {
            if (!runSeed(flags, seed, home, logs)) {
                broken.add(seed);
            }
        }
        System.out.println(broken.isEmpty() ? "every promise was kept" : "broken promises with seeds " + broken);
        return broken.isEmpty() ? 0 : EXIT_BROKEN_PROMISE;
    }

    private static boolean runSeed(Namespace flags, long seed, Path home, Path logs)
            throws IOException, InterruptedException {
        List<String> javaFlags = flags.getString("entry_flags") == null
                ? List.of()
                : Arrays.asList(flags.getString("entry_flags").trim().split(" +", -1));
        SoakRun.Settings settings = new SoakRun.Settings(
                seed,
                Scenario.of(flags.getString("scenario")).orElseThrow(),
                flags.getInt("nodes"),
                flags.getInt("callers"),
                Duration.ofMillis((long) (flags.getDouble("minutes") * 60_000)),
                EntryCommand.read(home, javaFlags),
                Files.createDirectories(logs.resolve("seed-" + seed)));
        try (SoakRun run = new SoakRun(settings, SoakMain::print)) {
            return run.run();
        }
    }

    private static void print(String line) {
        System.out.println(line);
    }

    private static void startBusyThreads(int count) {
        for (int number = 0; number < count; number++) {
            Thread thread = new Thread(SoakMain::beBusy, "busy " + number);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private static void beBusy() {
        while (!Thread.currentThread().isInterrupted()) {
            Thread.onSpinWait();
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("bin/soak")
                .build()
                .description(
                        "Runs entries as processes under load, stops them among faults drawn from a seed, and judges"
                                + " what callers and upstreams see.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("first seed of every choice; default 1");
        parser.addArgument("--seeds")
                .type(Integer.class)
                .choices(Arguments.range(1, Integer.MAX_VALUE))
                .setDefault(1)
                .help("how many seeds to run, one after the other; default 1");
        parser.addArgument("--minutes")
                .type(Double.class)
                .choices(Arguments.range(0.0, (double) Integer.MAX_VALUE))
                .setDefault(0.0)
                .help("time after which a seed begins no further episode; default 0, one episode of about 25 s");
        parser.addArgument("--nodes")
                .type(Integer.class)
                .choices(Arguments.range(LEAST_ENTRIES, MOST_ENTRIES))
                .setDefault(3)
                .help("number of entries; default 3");
        parser.addArgument("--callers")
                .type(Integer.class)
                .choices(Arguments.range(1, MOST_CALLERS))
                .setDefault(40)
                .help("number of callers; default 40");
        parser.addArgument("--scenario")
                .choices(Arrays.stream(Scenario.values()).map(Scenario::flag).toList())
                .setDefault(Scenario.STOP.flag())
                .help("faults beside one SIGTERM for each entry: plain has none, again has signals again, start has"
                        + " signals during start, around has reloads, configs and the store away, stop has all;"
                        + " rollout kills entries, and has versions of weights, freezes and the store away;"
                        + " default stop");
        parser.addArgument("--busy-threads")
                .type(Integer.class)
                .choices(Arguments.range(0, MOST_BUSY_THREADS))
                .setDefault(0)
                .help("threads of the soak that keep processors busy; default 0");
        parser.addArgument("--entry-flags")
                .help("flags of the entries' virtual machines, in one word with '=', as --entry-flags=-Xmx48m");
        parser.addArgument("--logs").help("folder for logs; default a new one, which is printed");
        return parser;
    }
}

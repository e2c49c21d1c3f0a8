package org.galenahinge.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.galenahinge.bench.LocalFleet.Vm;

/** Shows the whole path: a fleet on this machine, mixed load, two kills, a graceful stop and a report. */
public final class DemoMain {
    private static final int CHUNKS = 40;
    private static final int CHUNK_BYTES = 256 << 10;
    private static final long LINK_RATE = 20_000_000;
    private static final long STOP_LIMIT_SECONDS = 25;
    private static final Duration ANSWER_LIMIT = Duration.ofSeconds(25);
    private static final long PHASE_MILLIS = 3_000;

    private DemoMain() {}

    /**
     * Runs the demonstration. Exits with 0 when every promise held.
     *
     * @param arguments the flags; {@code --help} lists them
     * @throws IOException when the folder for logs cannot be made
     */
    public static void main(String[] arguments) throws IOException {
        Namespace flags = parser().parseArgsOrFail(arguments);
        long seed = flags.getLong("seed");
        Profile profile = Profile.of(flags.getString("profile"));
        int vms = Math.max(6, flags.getInt("vms"));
        Path home = Path.of(System.getProperty("galenahinge.home", "."));
        Path logs = Files.createTempDirectory("galenahinge-demo");
        System.out.println(
                "seed " + seed + ", profile " + profile.label() + ", " + vms + " upstream VMs, logs in " + logs);
        LocalFleet.Options options = new LocalFleet.Options(
                profile,
                3,
                vms - 3,
                3,
                CHUNKS,
                CHUNK_BYTES,
                LINK_RATE,
                LINK_RATE,
                List.of("--step-micros", "8000"),
                List.of());
        int exitCode;
        try (LocalFleet fleet = LocalFleet.start(home, logs, options)) {
            DemoReport report = new DemoReport(profile);
            run(fleet, report, seed, flags.getBoolean("keep"));
            System.out.print(report.render());
            exitCode = report.broken().isEmpty() ? 0 : 1;
        }
        System.exit(exitCode);
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("bin/demo")
                .build()
                .description("Starts a whole fleet on this machine, drives it, breaks it, stops it and reports.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the load; default 1");
        parser.addArgument("--vms").type(Integer.class).setDefault(6).help("upstream VMs, at least 6; default 6");
        parser.addArgument("--profile")
                .choices("khukuri", "blue-mahoe")
                .setDefault("khukuri")
                .help("whose fleet");
        parser.addArgument("--keep").action(Arguments.storeTrue()).help("leave the fleet running until Ctrl-C");
        return parser;
    }

    private static void run(LocalFleet fleet, DemoReport report, long seed, boolean keep) {
        long publishedNanos = System.nanoTime();
        fleet.publish(1, fleet.ticket(1, "1"));
        boolean inForce = Fleets.awaitTicket(fleet, 1);
        report.ticket(1, inForce, elapsedMillis(publishedNanos));
        boolean ready = Fleets.awaitReady(fleet, "1");
        report.spread(ready, elapsedMillis(publishedNanos), originCopies(fleet));
        if (keep) {
            printKept(fleet);
            HttpTool.pause(Long.MAX_VALUE);
        }
        OutcomeRecorder recorder = new OutcomeRecorder();
        List<String> seeds = fleet.vms("entry").stream().map(Vm::url).toList();
        LoadGenerator.Mix mix =
                new LoadGenerator.Mix(12, 20, fleet.profile().model(), 40, 24, List.of(5.0, 3.0, 1.0, 1.0, 1.0));
        try (LoadGenerator load = LoadGenerator.start(seeds, mix, recorder, seed)) {
            HttpTool.pause(PHASE_MILLIS);
            killOne(fleet, "entry", 1);
            HttpTool.pause(PHASE_MILLIS);
            killOne(fleet, "upstream", 0);
            HttpTool.pause(PHASE_MILLIS);
            report.unanswered(load.stop(ANSWER_LIMIT));
            report.load(load.sent(), recorder, recorder.audit(Fleets.executions(fleet)), Fleets.violations(fleet));
        }
        report.memory(fleet);
        report.stop(fleet.stopGracefully(STOP_LIMIT_SECONDS));
    }

    private static void killOne(LocalFleet fleet, String kind, int index) {
        Vm vm = fleet.vms(kind).get(index);
        System.out.println("killing the process of " + vm.name());
        fleet.process(vm).kill();
    }

    private static double originCopies(LocalFleet fleet) {
        long served = HttpTool.get(fleet.originUrl() + "/statistics")
                .map(statistics -> statistics.path("bytesServed").asLong())
                .orElse(0L);
        return served / ((double) CHUNKS * CHUNK_BYTES);
    }

    private static long elapsedMillis(long sinceNanos) {
        return Duration.ofNanos(System.nanoTime() - sinceNanos).toMillis();
    }

    private static void printKept(LocalFleet fleet) {
        System.out.println("running until Ctrl-C; try docs/CALLERS.md with");
        System.out.println("  export ENTRY=" + fleet.vms("entry").get(0).url());
        System.out.println("  export GALENAHINGE_ENTRIES="
                + String.join(",", fleet.vms("entry").stream().map(Vm::url).toList()));
        System.out.println("  export CONFIGURATION=" + fleet.configurationUrl());
    }
}

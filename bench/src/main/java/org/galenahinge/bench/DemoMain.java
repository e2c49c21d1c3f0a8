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

/** Demonstrates the system on this machine: a fleet under mixed load, two kills, a graceful stop and a report. */
public final class DemoMain {
    private static final int CHUNKS = 40;
    private static final int CHUNK_BYTES = 256 << 10;
    private static final long LINK_BYTES_PER_SECOND = 20_000_000;
    private static final long STOP_TIMEOUT_SECONDS = 25;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(25);
    private static final long PHASE_MILLIS = 3_000;

    private DemoMain() {}

    /**
     * Runs the demonstration. Exits with 0 when every guarantee held, otherwise with 1.
     *
     * @param arguments the flags; {@code --help} lists them
     * @throws IOException when the folder for logs cannot be created
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
                LINK_BYTES_PER_SECOND,
                LINK_BYTES_PER_SECOND,
                List.of("--step-micros", "8000"),
                List.of());
        int exitCode;
        try (LocalFleet fleet = LocalFleet.start(home, logs, options)) {
            DemoReport report = new DemoReport(profile);
            run(fleet, report, seed, flags.getBoolean("keep"));
            System.out.print(report.render());
            exitCode = report.violations().isEmpty() ? 0 : 1;
        }
        System.exit(exitCode);
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("bin/demo")
                .build()
                .description("Starts a fleet on this machine, sends load, kills two processes, stops it and reports.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the load; default 1");
        parser.addArgument("--vms").type(Integer.class).setDefault(6).help("upstream VMs, at least 6; default 6");
        parser.addArgument("--profile")
                .choices("khukuri", "blue-mahoe")
                .setDefault("khukuri")
                .help("the firm whose fleet is run; default khukuri");
        parser.addArgument("--keep").action(Arguments.storeTrue()).help("leave the fleet running until Ctrl-C");
        return parser;
    }

    private static void run(LocalFleet fleet, DemoReport report, long seed, boolean keepRunning) {
        long publishedNanos = System.nanoTime();
        fleet.publish(1, fleet.ticket(1, "1"));
        boolean inForce = Fleets.awaitTicket(fleet, 1);
        report.ticket(1, inForce, elapsedMillis(publishedNanos));
        boolean ready = Fleets.awaitReady(fleet, "1");
        report.spread(ready, elapsedMillis(publishedNanos), originCopies(fleet));
        if (keepRunning) {
            printUrls(fleet);
            HttpTool.pause(Long.MAX_VALUE);
        }
        OutcomeRecorder recorder = new OutcomeRecorder();
        List<String> seedUrls = fleet.vms("entry").stream().map(Vm::url).toList();
        LoadGenerator.Mix mix =
                new LoadGenerator.Mix(12, 20, fleet.profile().model(), 40, 24, List.of(5.0, 3.0, 1.0, 1.0, 1.0));
        try (LoadGenerator load = LoadGenerator.start(seedUrls, mix, recorder, seed)) {
            HttpTool.pause(PHASE_MILLIS);
            killProcess(fleet, "entry", 1);
            HttpTool.pause(PHASE_MILLIS);
            killProcess(fleet, "upstream", 0);
            HttpTool.pause(PHASE_MILLIS);
            report.unanswered(load.stop(RESPONSE_TIMEOUT));
            report.load(load.sent(), recorder, recorder.audit(Fleets.executions(fleet)), Fleets.violations(fleet));
        }
        report.memory(fleet);
        report.stop(fleet.stopGracefully(STOP_TIMEOUT_SECONDS));
    }

    private static void killProcess(LocalFleet fleet, String kind, int index) {
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

    private static void printUrls(LocalFleet fleet) {
        System.out.println("running until Ctrl-C; try docs/CALLERS.md with");
        System.out.println("  export ENTRY=" + fleet.vms("entry").get(0).url());
        System.out.println("  export GALENAHINGE_ENTRIES="
                + String.join(",", fleet.vms("entry").stream().map(Vm::url).toList()));
        System.out.println("  export CONFIGURATION=" + fleet.configurationUrl());
    }
}

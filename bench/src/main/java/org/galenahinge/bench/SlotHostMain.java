package org.galenahinge.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.galenahinge.log.LogSetup;
import org.galenahinge.settings.SlotSettings;
import org.galenahinge.slot.SlotDaemon;

/**
 * Runs many real slot daemons in one operating system process, for experiments with more VMs than one machine can run
 * as separate processes.
 */
public final class SlotHostMain {
    /** The number of regions that the VMs are distributed over. */
    static final int REGIONS = 3;

    private static final int PORTS_PER_VM = 2;

    private SlotHostMain() {}

    /**
     * Starts the slot daemons, prints {@code STARTED} and runs until it is killed.
     *
     * @param arguments the flags, all of them required
     * @throws IOException when a port is in use
     * @throws InterruptedException when the process is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        Namespace flags = parser().parseArgsOrFail(arguments);
        LogSetup.apply("plain", "warn");
        int first = flags.getInt("first");
        for (int index = first; index < first + flags.getInt("count"); index++) {
            SlotDaemon.start(SlotSettings.read(flagsOf(index, flags), Map.of()));
        }
        System.out.println("STARTED");
        new CountDownLatch(1).await();
    }

    static String nameOf(int index) {
        return "vm-" + index;
    }

    static String regionOf(int index) {
        return "region-" + index % REGIONS;
    }

    static int wirePortOf(int basePort, int index) {
        return basePort + PORTS_PER_VM * index;
    }

    private static List<String> flagsOf(int index, Namespace flags) {
        int port = wirePortOf(flags.getInt("base_port"), index);
        Map<String, String> values = Map.ofEntries(
                Map.entry("--name", nameOf(index)),
                Map.entry("--address", LocalFleet.ADDRESS),
                Map.entry("--wire-port", Integer.toString(port)),
                Map.entry("--http-port", Integer.toString(port + 1)),
                Map.entry("--region", regionOf(index)),
                Map.entry("--failure-domain", regionOf(index) + "-1"),
                Map.entry("--upstream", flags.getString("origin")),
                Map.entry("--upstream-kind", "model"),
                Map.entry("--upstream-checks-fencing", "true"),
                Map.entry("--calls-repeatable", "true"),
                Map.entry("--store", flags.getString("store")),
                Map.entry("--origin", flags.getString("origin")),
                Map.entry("--vm-link-rate", flags.getString("vm_rate")),
                Map.entry("--origin-link-rate", flags.getString("origin_rate")),
                Map.entry("--region-link-rate", flags.getString("region_rate")),
                Map.entry("--origin-copies", flags.getString("origin_copies")));
        List<String> list = new ArrayList<>();
        values.forEach((flag, value) -> list.addAll(List.of(flag, value)));
        return list;
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("slot-host").build();
        for (String flag : List.of("first", "count", "base-port")) {
            parser.addArgument("--" + flag).type(Integer.class).required(true);
        }
        for (String flag : List.of("origin", "store", "vm-rate", "origin-rate", "region-rate", "origin-copies")) {
            parser.addArgument("--" + flag).required(true);
        }
        return parser;
    }
}

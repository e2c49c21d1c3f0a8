package org.galenahinge.bench;

import java.util.List;
import org.galenahinge.bench.LocalFleet.Node;

/** Starts the fleets that several experiments use, with a ticket in force and every replica ready. */
final class Fleets {
    private static final int CHUNKS = 24;
    private static final int CHUNK_BYTES = 64 << 10;
    private static final long RATE = 100_000_000;

    private Fleets() {}

    static LocalFleet ready(Experiment.Settings settings, int entries, int models, int orders, String... engineFlags) {
        LocalFleet.Shape shape = new LocalFleet.Shape(
                settings.profile(),
                entries,
                models,
                orders,
                CHUNKS,
                CHUNK_BYTES,
                RATE,
                RATE,
                List.of(engineFlags),
                settings.entryFlags());
        LocalFleet fleet = LocalFleet.start(settings.home(), settings.logs(), shape);
        fleet.publish(1, fleet.ticket(1, "1"));
        if (!DemoMain.awaitTicket(fleet, 1) || (models > 0 && !DemoMain.awaitReady(fleet, "1"))) {
            fleet.close();
            throw new IllegalStateException("the fleet did not become ready; see the logs in " + settings.logs());
        }
        return fleet;
    }

    static List<String> entryUrls(LocalFleet fleet) {
        return fleet.nodes("entry").stream().map(Node::url).toList();
    }

    static long metric(Node node, String name) {
        return HttpTool.get(node.url() + "/metrics")
                .map(metrics -> metrics.path(name).asLong())
                .orElse(0L);
    }
}

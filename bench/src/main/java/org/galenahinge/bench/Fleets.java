package org.galenahinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.galenahinge.bench.LocalFleet.Node;

/** Starts the fleets that several experiments use, with a ticket in force and every replica ready. */
final class Fleets {
    private static final int CHUNKS = 24;
    private static final int CHUNK_BYTES = 64 << 10;
    private static final long RATE = 100_000_000;
    private static final Duration READY_LIMIT = Duration.ofSeconds(40);

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
        if (!awaitTicket(fleet, 1) || (models > 0 && !awaitReady(fleet, "1"))) {
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

    static boolean awaitTicket(LocalFleet fleet, long number) {
        String url = fleet.nodes("entry").get(0).url() + "/v1/operations/tickets/" + number;
        return HttpTool.await(url, status -> status.path("state").asText().equals("in-force"), READY_LIMIT)
                .isPresent();
    }

    static boolean awaitReady(LocalFleet fleet, String version) {
        String url = fleet.nodes("entry").get(0).url() + "/v1/operations/models/"
                + fleet.profile().model() + "/" + version;
        return HttpTool.await(
                        url,
                        progress -> progress.path("replicasReady").asInt() > 0
                                && progress.path("replicasReady").asInt()
                                        == progress.path("replicasWanted").asInt(),
                        READY_LIMIT)
                .isPresent();
    }

    static Map<String, Long> executions(LocalFleet fleet) {
        Map<String, Long> total = new HashMap<>();
        for (Node node : fleet.orders()) {
            Optional<JsonNode> reported = HttpTool.get(fleet.upstreamUrl(node) + "/executions");
            reported.ifPresent(document -> Ledger.addExecutions(total, document));
        }
        return total;
    }

    static List<String> violations(LocalFleet fleet) {
        List<String> lines = new ArrayList<>();
        for (Node node : fleet.nodes("upstream")) {
            fleet.upstream(node).logLinesWith("VIOLATION").forEach(line -> lines.add(node.name() + ": " + line));
        }
        return lines;
    }
}

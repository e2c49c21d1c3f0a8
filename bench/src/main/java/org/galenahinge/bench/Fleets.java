package org.galenahinge.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.galenahinge.bench.LocalFleet.Vm;

/** Starts and queries fleets for several experiments. */
final class Fleets {
    private static final int CHUNKS = 24;
    private static final int CHUNK_BYTES = 64 << 10;
    private static final long LINK_BYTES_PER_SECOND = 100_000_000;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(40);

    private Fleets() {}

    /** Starts a fleet and waits until its first ticket is in force and every replica is ready. */
    static LocalFleet startReady(
            Experiment.Settings settings, int entries, int models, int orders, String... engineFlags) {
        LocalFleet.Options options = new LocalFleet.Options(
                settings.profile(),
                entries,
                models,
                orders,
                CHUNKS,
                CHUNK_BYTES,
                LINK_BYTES_PER_SECOND,
                LINK_BYTES_PER_SECOND,
                List.of(engineFlags),
                settings.entryFlags());
        LocalFleet fleet = LocalFleet.start(settings.home(), settings.logs(), options);
        fleet.publish(1, fleet.ticket(1, "1"));
        if (!awaitTicket(fleet, 1) || (models > 0 && !awaitReady(fleet, "1"))) {
            fleet.close();
            throw new IllegalStateException("the fleet did not become ready; see the logs in " + settings.logs());
        }
        return fleet;
    }

    static List<String> entryUrls(LocalFleet fleet) {
        return fleet.vms("entry").stream().map(Vm::url).toList();
    }

    /** Returns a metric of the entry or slot process on a VM, 0 if it is not available. */
    static long metric(Vm vm, String name) {
        return HttpTool.get(vm.url() + "/metrics")
                .map(metrics -> metrics.path(name).asLong())
                .orElse(0L);
    }

    /** Waits until a ticket is in force, and returns whether it is. */
    static boolean awaitTicket(LocalFleet fleet, long number) {
        String url = fleet.vms("entry").get(0).url() + "/v1/operations/tickets/" + number;
        return HttpTool.await(url, status -> status.path("state").asText().equals("in-force"), READY_TIMEOUT)
                .isPresent();
    }

    /** Waits until every replica of a model version is ready, and returns whether it is so. */
    static boolean awaitReady(LocalFleet fleet, String version) {
        String url = fleet.vms("entry").get(0).url() + "/v1/operations/models/"
                + fleet.profile().model() + "/" + version;
        return HttpTool.await(
                        url,
                        progress -> progress.path("replicasReady").asInt() > 0
                                && progress.path("replicasReady").asInt()
                                        == progress.path("replicasWanted").asInt(),
                        READY_TIMEOUT)
                .isPresent();
    }

    /** Returns the number of executions of each order at all plain services. */
    static Map<String, Long> executions(LocalFleet fleet) {
        Map<String, Long> total = new HashMap<>();
        for (Vm vm : fleet.orders()) {
            Optional<JsonNode> reported = HttpTool.get(fleet.upstreamUrl(vm) + "/executions");
            reported.ifPresent(document -> OutcomeRecorder.addExecutions(total, document));
        }
        return total;
    }

    /** Returns the violations that the upstreams logged, with the names of their VMs. */
    static List<String> violations(LocalFleet fleet) {
        List<String> lines = new ArrayList<>();
        for (Vm vm : fleet.vms("upstream")) {
            fleet.upstream(vm).logLinesContaining("VIOLATION").forEach(line -> lines.add(vm.name() + ": " + line));
        }
        return lines;
    }
}

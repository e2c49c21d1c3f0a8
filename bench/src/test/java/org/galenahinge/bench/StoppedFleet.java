package org.galenahinge.bench;

import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.galenahinge.entry.EntryDaemon;
import org.galenahinge.settings.EntrySettings;
import org.galenahinge.settings.SlotSettings;
import org.galenahinge.slot.SlotDaemon;
import org.galenahinge.standins.ConfigurationStandIn;
import org.galenahinge.standins.HttpStandIn;
import org.galenahinge.standins.VmListStandIn;
import org.galenahinge.wire.WireAddress;

/**
 * Runs one entry and one slot process, each of which a test stops. Their upstream is a service that holds its responses until it
 * is told to give them.
 */
final class StoppedFleet implements AutoCloseable {
    /** Size of each response of the service, in bytes, in which a request's path names a large one. */
    static final int LARGE_RESPONSE_BYTES = 1_900_000;

    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);
    private static final String TICKET = """
            {"number": 1, "groups": [{"group": "orders", "vms": ["order-1"], "service": "orders", "repeatable": true}]}
            """;

    private final List<HttpStandIn> standIns = new ArrayList<>();
    private final AtomicInteger begun = new AtomicInteger();
    private final CompletableFuture<Void> released = new CompletableFuture<>();
    private final EntryDaemon entry;
    private final SlotDaemon slot;
    private final URI entryUri;
    private final WireAddress slotAddress;

    /** Starts the fleet and waits until it serves the service "orders". */
    StoppedFleet(List<String> entryFlags, List<String> slotFlags) throws IOException {
        String configuration = startStandIn("configuration", system -> new ConfigurationStandIn(system, 2_000));
        String vmList = startStandIn("vm-list", system -> new VmListStandIn(system, 0));
        String service = startStandIn("service", system -> request -> respond(system, request));
        ObjectNode vms = HttpTool.JSON.createObjectNode();
        List<String> allEntryFlags = LocalVms.add(vms.putArray("vms"), "entry-1", "entry");
        List<String> allSlotFlags = LocalVms.add(vms.withArray("vms"), "order-1", "upstream");
        HttpTool.send("PUT", vmList + "/v1/vms", vms.toString());
        HttpTool.send("PUT", configuration + "/v1/values/tickets/1", TICKET);
        allSlotFlags.addAll(List.of("--upstream", service, "--upstream-kind", "service"));
        allSlotFlags.addAll(List.of("--store", service, "--origin", service));
        allSlotFlags.addAll(List.of("--upstream-checks-fencing", "false", "--calls-repeatable", "true"));
        allSlotFlags.addAll(slotFlags);
        allEntryFlags.addAll(List.of("--configuration-service", configuration, "--vm-list", vmList));
        allEntryFlags.addAll(entryFlags);
        SlotSettings slotSettings = SlotSettings.read(allSlotFlags, Map.of());
        slot = SlotDaemon.start(slotSettings);
        slotAddress = slotSettings.vmSettings().vm().wireAddress();
        EntrySettings settings = EntrySettings.read(allEntryFlags, Map.of());
        entry = EntryDaemon.start(settings);
        entryUri = URI.create(
                "http://" + LocalVms.ADDRESS + ":" + settings.vmSettings().vm().httpPort());
        boolean served = HttpTool.await(
                        entryUri + "/v1/operations/tickets/1",
                        status -> status.path("state").asText().equals("in-force"),
                        START_TIMEOUT)
                .isPresent();
        if (!served) {
            throw new IllegalStateException("the ticket of the fleet is not in force");
        }
        awaitFirstResponse();
    }

    /** Waits until the entry has heard of its slot process, which may be after the ticket is in force. */
    private void awaitFirstResponse() {
        String small = entryUri + "/v1/services/orders/small";
        await().atMost(START_TIMEOUT).until(() -> HttpTool.send("POST", small, "{}") == 200);
        begun.set(0);
    }

    EntryDaemon entry() {
        return entry;
    }

    SlotDaemon slot() {
        return slot;
    }

    URI entryUri() {
        return entryUri;
    }

    WireAddress slotAddress() {
        return slotAddress;
    }

    /** Returns how many requests the service was given. */
    int begunRequests() {
        return begun.get();
    }

    /** Lets the service respond to all requests that it holds. */
    void release() {
        released.complete(null);
    }

    @Override
    public void close() {
        release();
        CompletableFuture.allOf(entry.stop().toCompletableFuture(), slot.stop().toCompletableFuture())
                .completeOnTimeout(null, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
        standIns.forEach(HttpStandIn::close);
    }

    private CompletionStage<HttpResponse> respond(ActorSystem<?> system, HttpRequest request) {
        String path = request.getUri().path();
        String requestId = request.getHeader("x-request-id").orElseThrow().value();
        int size = path.startsWith("/large") ? LARGE_RESPONSE_BYTES : 2;
        HttpResponse response = HttpResponse.create()
                .addHeader(RawHeader.create("x-request-id", requestId))
                .withEntity(ContentTypes.APPLICATION_JSON, "1".repeat(size));
        request.discardEntityBytes(system);
        begun.incrementAndGet();
        CompletableFuture<Void> due = path.endsWith("/held") ? released : CompletableFuture.completedFuture(null);
        return due.thenApply(done -> response);
    }

    private String startStandIn(String name, Function<ActorSystem<?>, HttpStandIn.Handler> handler) throws IOException {
        HttpStandIn standIn = HttpStandIn.start(name, LocalVms.ADDRESS, LocalVms.freePort(), handler);
        standIns.add(standIn);
        return "http://" + LocalVms.ADDRESS + ":" + standIn.port();
    }
}

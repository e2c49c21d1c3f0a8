package org.galenahinge.bench;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.galenahinge.entry.EntryDaemon;
import org.galenahinge.settings.EntrySettings;
import org.galenahinge.settings.SlotSettings;
import org.galenahinge.slot.SlotDaemon;
import org.galenahinge.standins.ConfigurationStandIn;
import org.galenahinge.standins.EngineStandIn;
import org.galenahinge.standins.HttpStandIn;
import org.galenahinge.standins.ServiceStandIn;
import org.galenahinge.standins.VmListStandIn;
import org.galenahinge.standins.WeightsStandIn;

/** Runs the real daemons with stand-ins in one process: one entry, one model VM and one order VM. */
final class InProcessFleet implements AutoCloseable {
    private static final EngineStandIn.Parameters ENGINE =
            new EngineStandIn.Parameters(8, 2_000, 50, 512, 4_096, 20, true);
    private static final WeightsStandIn.Parameters WEIGHTS = new WeightsStandIn.Parameters(6, 4_096, 50_000_000, 0);

    private final List<HttpStandIn> standIns = new ArrayList<>();
    private final List<SlotDaemon> slots = new ArrayList<>();
    private final AtomicLong floodedBytes = new AtomicLong();
    private final EntryDaemon entry;
    private final String entryUrl;
    private final String configurationUrl;
    private final String serviceUrl;

    InProcessFleet() throws IOException {
        configurationUrl = startStandIn("configuration", system -> new ConfigurationStandIn(system, 2_000));
        String vmList = startStandIn("vm-list", system -> new VmListStandIn(system, 0));
        String weights =
                startStandIn("weights", system -> new WeightsStandIn(system, WEIGHTS, List.of("models/inlay/1")));
        String engineUrl = startStandIn(
                "engine", system -> new FaultyEngine(system, new EngineStandIn(system, ENGINE), floodedBytes));
        serviceUrl = startStandIn("service", system -> new ServiceStandIn(system, 1));
        ObjectNode vms = HttpTool.JSON.createObjectNode();
        List<String> entryFlags = LocalVms.add(vms.putArray("vms"), "entry-1", "entry");
        List<String> modelFlags = LocalVms.add(vms.withArray("vms"), "model-1", "upstream");
        List<String> orderFlags = LocalVms.add(vms.withArray("vms"), "order-1", "upstream");
        HttpTool.send("PUT", vmList + "/v1/vms", vms.toString());
        slots.add(startSlot(modelFlags, engineUrl, "model", weights));
        slots.add(startSlot(orderFlags, serviceUrl, "service", weights));
        entryFlags.addAll(List.of("--configuration-service", configurationUrl, "--vm-list", vmList));
        entryFlags.addAll(List.of("--request-timeout-seconds", "10"));
        EntrySettings settings = EntrySettings.read(entryFlags, Map.of());
        entryUrl =
                "http://" + LocalVms.ADDRESS + ":" + settings.vmSettings().vm().httpPort();
        entry = EntryDaemon.start(settings);
    }

    String entryUrl() {
        return entryUrl;
    }

    /** Returns how many bytes were taken from the engine of responses without an end. */
    long floodedBytes() {
        return floodedBytes.get();
    }

    String serviceUrl() {
        return serviceUrl;
    }

    void publish(long number, String ticket) {
        HttpTool.send("PUT", configurationUrl + "/v1/values/tickets/" + number, ticket);
    }

    /** Makes the configuration service lose all values after a revision and give out their revisions again. */
    void restoreConfiguration(long revision) {
        HttpTool.send("POST", configurationUrl + "/control/restore?revision=" + revision, "");
    }

    @Override
    public void close() {
        entry.stop().toCompletableFuture().join();
        slots.forEach(slot -> slot.stop().toCompletableFuture().join());
        standIns.forEach(HttpStandIn::close);
    }

    private String startStandIn(String name, Function<ActorSystem<?>, HttpStandIn.Handler> handler) throws IOException {
        HttpStandIn standIn = HttpStandIn.start(name, LocalVms.ADDRESS, LocalVms.freePort(), handler);
        standIns.add(standIn);
        return "http://" + LocalVms.ADDRESS + ":" + standIn.port();
    }

    private static SlotDaemon startSlot(List<String> vmFlags, String upstream, String kind, String weights)
            throws IOException {
        List<String> flags = new ArrayList<>(vmFlags);
        flags.addAll(List.of("--upstream", upstream, "--upstream-kind", kind, "--store", weights, "--origin", weights));
        String model = Boolean.toString(kind.equals("model"));
        flags.addAll(List.of("--upstream-checks-fencing", model, "--calls-repeatable", model));
        return SlotDaemon.start(SlotSettings.read(flags, Map.of()));
    }

    /**
     * An engine whose response to a prompt with the word "break" fails after two parts, whose response to one with
     * "short" ends normally after two parts, and whose response to one with "flood" goes on with large events.
     */
    private record FaultyEngine(ActorSystem<?> system, EngineStandIn engine, AtomicLong floodedBytes)
            implements HttpStandIn.Handler {
        private static final int FLOOD_EVENT_BYTES = 200 << 10;
        private static final int FLOOD_EVENTS = 1_000;

        @Override
        public CompletionStage<HttpResponse> handle(HttpRequest request) {
            if (!request.getUri().path().equals("/v1/chat/completions")) {
                return engine.handle(request);
            }
            return request.entity().toStrict(5_000, system).thenCompose(entity -> {
                String body = entity.getData().utf8String();
                HttpRequest bufferedRequest = request.withEntity(entity);
                boolean fails = body.contains("break");
                boolean endsEarly = body.contains("short");
                if (body.contains("flood")) {
                    return engine.handle(bufferedRequest).thenApply(response -> flood(response, request));
                }
                return engine.handle(bufferedRequest)
                        .thenApply(response -> fails || endsEarly ? truncate(response, request, fails) : response);
            });
        }

        private HttpResponse truncate(HttpResponse response, HttpRequest request, boolean fails) {
            Source<ByteString, ?> firstParts = response.entity().getDataBytes().take(2);
            Source<ByteString, ?> body = fails
                    ? firstParts.concat(
                            Source.failed(new IllegalStateException("simulated failure of the response stream")))
                    : firstParts;
            return streamed(request, body);
        }

        /** Repeats the first event, made longer by a comment. */
        private HttpResponse flood(HttpResponse response, HttpRequest request) {
            Source<ByteString, ?> body = response.entity()
                    .getDataBytes()
                    .take(1)
                    .map(first -> ByteString.fromString(":" + "x".repeat(FLOOD_EVENT_BYTES) + "\n")
                            .concat(first))
                    .flatMapConcat(event -> Source.repeat(event).take(FLOOD_EVENTS))
                    .map(event -> {
                        floodedBytes.addAndGet(event.size());
                        return event;
                    });
            return streamed(request, body);
        }

        private static HttpResponse streamed(HttpRequest request, Source<ByteString, ?> body) {
            return HttpResponse.create()
                    .addHeader(RawHeader.create(
                            "x-request-id",
                            request.getHeader("x-request-id").orElseThrow().value()))
                    .withEntity(HttpEntities.createChunked(MediaTypes.TEXT_EVENT_STREAM.toContentType(), body));
        }
    }
}

package org.galenahinge.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.RequestEntity;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.galenahinge.ticket.TicketGroup.Role;
import org.galenahinge.weights.ChunkMemory;
import org.galenahinge.weights.Manifest.Chunk;
import org.galenahinge.weights.WeightsManifest;

/** Reads a model engine's state and gives it orders. */
public final class EngineClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration STATE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LOAD_TIMEOUT = Duration.ofMinutes(10);
    private static final int MAXIMUM_STATE_BYTES = 64 << 10;

    private final ActorSystem<?> system;
    private final UpstreamClient client;

    private EngineClient(ActorSystem<?> system, UpstreamClient client) {
        this.system = system;
        this.client = client;
    }

    /**
     * Creates a client.
     *
     * @param system runs the connections
     * @param engine where the engine listens
     * @return the client
     */
    public static EngineClient create(ActorSystem<?> system, URI engine) {
        return new EngineClient(system, UpstreamClient.create(system, engine));
    }

    /**
     * Reads the engine's state.
     *
     * @return the state, or empty when it could not be read
     */
    public CompletionStage<Optional<EngineState>> state() {
        return read(HttpRequest.GET("/engine/state"), STATE_TIMEOUT)
                .thenApply(body -> body.flatMap(EngineClient::parse));
    }

    /**
     * Orders the engine to load weights that are complete and verified.
     *
     * @param manifest the weights
     * @param memory holds every chunk of them
     * @param role the role to take
     * @param fencingNumber the number of the ticket that asks for it
     * @return the engine's state afterwards, or empty when the order failed
     */
    public CompletionStage<Optional<EngineState>> load(
            WeightsManifest manifest, ChunkMemory memory, Role role, long fencingNumber) {
        HttpRequest request = HttpRequest.PUT("/engine/weights")
                .addHeader(RawHeader.create("fencing-number", Long.toString(fencingNumber)))
                .addHeader(RawHeader.create("weights-key", manifest.key()))
                .addHeader(RawHeader.create("weights-fingerprint", manifest.fingerprint()))
                .addHeader(RawHeader.create("engine-role", role.name().toLowerCase(Locale.ROOT)))
                .withEntity(image(manifest, memory));
        return read(request, LOAD_TIMEOUT).thenApply(body -> body.flatMap(EngineClient::parse));
    }

    /** The image is one line of JSON with the chunks in order, then their contents. */
    private static RequestEntity image(WeightsManifest manifest, ChunkMemory memory) {
        byte[] line = manifestLine(manifest);
        List<byte[]> parts = new ArrayList<>();
        parts.add(line);
        for (Chunk chunk : manifest.sequence()) {
            parts.add(memory.find(chunk.hash())
                    .orElseThrow(() -> new IllegalStateException("chunk " + chunk.hash() + " is missing")));
        }
        return HttpEntities.create(
                ContentTypes.APPLICATION_OCTET_STREAM,
                line.length + manifest.totalBytes(),
                Source.from(parts).map(ByteString::fromArrayUnsafe));
    }

    private static byte[] manifestLine(WeightsManifest manifest) {
        try {
            return (JSON.writeValueAsString(manifest.sequence()) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new CompletionException(e);
        }
    }

    private CompletionStage<Optional<byte[]>> read(HttpRequest request, Duration timeout) {
        UpstreamClient.Exchange exchange = client.send(request, timeout);
        return exchange.outcome()
                .thenCompose(outcome -> outcome instanceof UpstreamClient.Outcome.Answered answered
                        ? body(answered.response(), timeout)
                        : CompletableFuture.completedFuture(Optional.<byte[]>empty()))
                .whenComplete((body, error) -> exchange.close());
    }

    private CompletionStage<Optional<byte[]>> body(HttpResponse response, Duration timeout) {
        if (!response.status().isSuccess()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        return response.entity()
                .toStrict(timeout.toMillis(), MAXIMUM_STATE_BYTES, system)
                .handle((entity, error) -> Optional.ofNullable(entity)
                        .map(strict -> strict.getData().toArrayUnsafe()));
    }

    private static Optional<EngineState> parse(byte[] bytes) {
        try {
            return Optional.of(JSON.readValue(bytes, EngineState.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}

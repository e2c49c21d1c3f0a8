package org.galenahinge.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.galenahinge.http.CompleteResponse;
import org.galenahinge.http.Exchange;
import org.galenahinge.ticket.TicketGroup.Role;
import org.galenahinge.weights.ChunkCache;
import org.galenahinge.weights.Manifest.Chunk;
import org.galenahinge.weights.WeightsManifest;
import org.galenahinge.wire.NetworkThreads;

/** Client of a model engine: reads its state and sends it load commands. */
public final class EngineClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration STATE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration LOAD_TIMEOUT = Duration.ofMinutes(10);
    private static final int MAXIMUM_STATE_BYTES = 64 << 10;
    private static final int OK = 200;

    private final NetworkThreads threads;
    private final URI engine;

    private EngineClient(NetworkThreads threads, URI engine) {
        this.threads = threads;
        this.engine = engine;
    }

    /**
     * Creates a client.
     *
     * @param threads the threads that serve the connections
     * @param engine base URI of the engine
     * @return the client
     */
    public static EngineClient create(NetworkThreads threads, URI engine) {
        return new EngineClient(Objects.requireNonNull(threads, "threads"), Objects.requireNonNull(engine, "engine"));
    }

    /**
     * Reads the engine's state.
     *
     * @return the state, or empty if it could not be read within 2 seconds
     */
    public CompletionStage<Optional<EngineState>> state() {
        return send(Exchange.Request.get("/engine/state"), STATE_TIMEOUT);
    }

    /**
     * Sends the engine a load command with weights that are complete and verified.
     *
     * @param manifest manifest of the weights
     * @param memory holds every chunk of the weights
     * @param role the role that the engine is to have
     * @param fencingNumber number of the ticket that assigns the weights
     * @return the engine's state after loading, or empty if the command failed or took longer than 10 minutes
     * @throws IllegalStateException if {@code memory} lacks a chunk
     */
    public CompletionStage<Optional<EngineState>> load(
            WeightsManifest manifest, ChunkCache memory, Role role, long fencingNumber) {
        Map<String, String> headers = Map.of(
                "fencing-number",
                Long.toString(fencingNumber),
                "weights-key",
                manifest.key(),
                "weights-fingerprint",
                manifest.fingerprint(),
                "engine-role",
                role.name().toLowerCase(Locale.ROOT));
        Exchange.Request request =
                new Exchange.Request("PUT", "/engine/weights", headers, weightsImage(manifest, memory));
        return send(request, LOAD_TIMEOUT);
    }

    /** Returns the request body: one line of JSON that lists the chunks in order, then the contents of the chunks. */
    private static List<byte[]> weightsImage(WeightsManifest manifest, ChunkCache memory) {
        List<byte[]> parts = new ArrayList<>();
        parts.add(manifestLine(manifest));
        for (Chunk chunk : manifest.loadSequence()) {
            parts.add(memory.find(chunk.hash())
                    .orElseThrow(() -> new IllegalStateException("chunk " + chunk.hash() + " is missing")));
        }
        return parts;
    }

    private static byte[] manifestLine(WeightsManifest manifest) {
        try {
            return (JSON.writeValueAsString(manifest.loadSequence()) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private CompletionStage<Optional<EngineState>> send(Exchange.Request request, Duration timeout) {
        return CompleteResponse.fetch(threads, engine, request, timeout, MAXIMUM_STATE_BYTES)
                .handle((response, error) -> error == null && response.status() == OK
                        ? parse(response.body())
                        : Optional.<EngineState>empty());
    }

    private static Optional<EngineState> parse(byte[] bytes) {
        try {
            return Optional.of(JSON.readValue(bytes, EngineState.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}

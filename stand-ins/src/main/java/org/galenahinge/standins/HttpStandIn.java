package org.galenahinge.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.typesafe.config.ConfigFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Runs the HTTP server of one stand-in, and offers helpers for requests and responses to its handler. */
public final class HttpStandIn implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final long BODY_TIMEOUT_MILLIS = 600_000;
    private static final long MAXIMUM_BODY_BYTES = 8L << 30;

    private final ActorSystem<Void> system;
    private final ServerBinding binding;

    private HttpStandIn(ActorSystem<Void> system, ServerBinding binding) {
        this.system = system;
        this.binding = binding;
    }

    /**
     * Starts a server and waits until it listens.
     *
     * @param name the name of its actor system and threads
     * @param address the local address to listen on
     * @param port the port to listen on
     * @param handlerFactory creates the handler, given the actor system that runs its streams
     * @return the running server
     * @throws java.util.concurrent.CompletionException if the address and port cannot be bound
     */
    public static HttpStandIn start(
            String name, String address, int port, Function<ActorSystem<?>, Handler> handlerFactory) {
        Objects.requireNonNull(name, "name");
        ActorSystem<Void> system = ActorSystem.create(
                Behaviors.empty(),
                name,
                ConfigFactory.parseResources("stand-ins.conf")
                        .withFallback(ConfigFactory.load())
                        .resolve());
        Handler handler = handlerFactory.apply(system);
        ServerBinding binding = Http.get(system)
                .newServerAt(address, port)
                .bind(handler::handle)
                .toCompletableFuture()
                .join();
        return new HttpStandIn(system, binding);
    }

    /** Responds to the requests of one stand-in. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Responds to a request.
         *
         * @param request the request
         * @return the response, when it is ready
         */
        CompletionStage<HttpResponse> handle(HttpRequest request);
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return binding.localAddress().getPort();
    }

    @Override
    public void close() {
        binding.unbind().toCompletableFuture().join();
        system.terminate();
        system.getWhenTerminated().toCompletableFuture().join();
    }

    static CompletionStage<HttpResponse> completed(HttpResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    static CompletionStage<HttpResponse> afterDelay(long delayMillis, Supplier<HttpResponse> response) {
        return CompletableFuture.supplyAsync(
                response, CompletableFuture.delayedExecutor(Math.max(0, delayMillis), TimeUnit.MILLISECONDS));
    }

    static HttpResponse json(int status, Object document) {
        try {
            return HttpResponse.create()
                    .withStatus(status)
                    .withEntity(ContentTypes.APPLICATION_JSON, JSON.writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    static HttpResponse status(int status) {
        return HttpResponse.create().withStatus(status);
    }

    static CompletionStage<byte[]> readBody(ActorSystem<?> system, HttpRequest request) {
        return request.entity()
                .withSizeLimit(MAXIMUM_BODY_BYTES)
                .toStrict(BODY_TIMEOUT_MILLIS, MAXIMUM_BODY_BYTES, system)
                .thenApply(entity -> entity.getData().toArray());
    }

    static JsonNode parseJson(byte[] body) {
        try {
            return JSON.readTree(body);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static Optional<String> header(HttpRequest request, String name) {
        return request.getHeader(name).map(header -> header.value());
    }

    static long parameter(HttpRequest request, String name, long defaultValue) {
        return request.getUri().query().get(name).map(Long::parseLong).orElse(defaultValue);
    }
}

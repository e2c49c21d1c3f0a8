package org.galenahinge.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.TLSProtocol.SessionBytes;
import org.apache.pekko.stream.TLSProtocol.SslTlsInbound;
import org.apache.pekko.stream.TLSProtocol.SslTlsOutbound;
import org.apache.pekko.stream.javadsl.BidiFlow;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.TLSPlacebo;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;
import org.jboss.logging.Logger;

/**
 * Accepts HTTP connections, and closes each only once its responses have been handed to the network.
 *
 * <p>Pekko's own server ends without a signal that its connections are closed, and a connection that is open when the actor system
 * ends is reset, with all that its caller has not received yet.
 */
final class HttpListener {
    private static final Logger LOG = Logger.getLogger(HttpListener.class);
    private static final String NAME = "http-listener";

    /** Time in which requests on open connections still get a response, after no more connections are accepted. */
    private static final Duration LAST_REQUEST_TIME = Duration.ofMillis(500);

    private final ActorSystem<?> system;
    private final Function<HttpRequest, CompletionStage<HttpResponse>> handler;
    private final ServerSettings settings;
    private final SharedKillSwitch lastRequest = KillSwitches.shared(NAME);
    private final CompletionStage<Tcp.ServerBinding> binding;
    private final CompletionStage<Done> allClosed;
    private volatile boolean ending;

    private HttpListener(
            ActorSystem<?> system,
            String address,
            int port,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        this.system = system;
        this.handler = handler;
        this.settings = ServerSettings.create(system.classicSystem());
        Pair<CompletionStage<Tcp.ServerBinding>, CompletionStage<Done>> running = Tcp.get(system.classicSystem())
                .bind(address, port, settings.getBacklog(), settings.getSocketOptions(), false, Optional.empty())
                .mapAsyncUnordered(settings.getMaxConnections(), this::serve)
                .toMat(Sink.ignore(), Keep.both())
                .run(system);
        this.binding = running.first();
        this.allClosed = running.second();
    }

    /**
     * Listens for connections.
     *
     * @param system runs the connections
     * @param address the IP address to bind
     * @param port the port to bind
     * @param handler handles a request; if it fails, the caller gets status 500
     * @return the listener; fails when the port cannot be bound
     */
    static CompletionStage<HttpListener> bind(
            ActorSystem<?> system,
            String address,
            int port,
            Function<HttpRequest, CompletionStage<HttpResponse>> handler) {
        HttpListener listener = new HttpListener(
                Objects.requireNonNull(system, "system"),
                Objects.requireNonNull(address, "address"),
                port,
                Objects.requireNonNull(handler, "handler"));
        return listener.binding.thenApply(bound -> listener);
    }

    /** Asks callers with each response from now on to use no connection again. */
    void announceEnd() {
        ending = true;
    }

    /**
     * Accepts no more connections, and closes each open one once the requests that were read on it have their responses.
     *
     * @return completes when all connections are closed; never fails
     */
    CompletionStage<Void> close() {
        announceEnd();
        return binding.thenCompose(Tcp.ServerBinding::unbind)
                .thenRunAsync(
                        lastRequest::shutdown,
                        CompletableFuture.delayedExecutor(LAST_REQUEST_TIME.toMillis(), TimeUnit.MILLISECONDS))
                .thenCompose(done -> allClosed)
                .handle((done, error) -> null);
    }

    /** Serves a connection; completes when it is closed. */
    private CompletionStage<Done> serve(Tcp.IncomingConnection connection) {
        Flow<ByteString, ByteString, CompletionStage<Done>> network =
                connection.flow().watchTermination(Keep.right());
        BidiFlow<HttpResponse, SslTlsOutbound, SslTlsInbound, HttpRequest, ?> http =
                Http.get(system).serverLayer(settings);
        return http.atop(withoutEncryption())
                .atop(BidiFlow.<ByteString, ByteString>bidirectionalIdleTimeout(idleTimeout()))
                .atop(BidiFlow.fromGraph(new LingeringClose()))
                .join(network, Keep.right())
                .joinMat(requests(), Keep.left())
                .run(system)
                .exceptionally(error -> {
                    LOG.debugf("a connection of a caller ended: %s", error);
                    return Done.getInstance();
                });
    }

    private Flow<HttpRequest, HttpResponse, ?> requests() {
        return Flow.of(HttpRequest.class)
                .via(lastRequest.flow())
                .mapAsync(1, request -> handleSafely(request).thenApply(this::withConnectionHeader));
    }

    private CompletionStage<HttpResponse> handleSafely(HttpRequest request) {
        try {
            return handler.apply(request).exceptionally(HttpListener::failed);
        } catch (RuntimeException e) {
            return CompletableFuture.completedFuture(failed(e));
        }
    }

    private static HttpResponse failed(Throwable error) {
        LOG.errorf(error, "unexpected exception while handling a request");
        return HttpResponse.create().withStatus(500);
    }

    private static BidiFlow<SslTlsOutbound, ByteString, ByteString, SslTlsInbound, ?> withoutEncryption() {
        Flow<SessionBytes, SslTlsInbound, ?> widened =
                Flow.of(SessionBytes.class).map(bytes -> (SslTlsInbound) bytes);
        return BidiFlow.fromFlows(Flow.<SslTlsOutbound>create(), widened).atop(TLSPlacebo.getInstance());
    }

    private Duration idleTimeout() {
        return system.settings().config().getDuration("pekko.http.server.idle-timeout");
    }

    private HttpResponse withConnectionHeader(HttpResponse response) {
        return ending ? response.addHeader(Connection.create("close")) : response;
    }
}

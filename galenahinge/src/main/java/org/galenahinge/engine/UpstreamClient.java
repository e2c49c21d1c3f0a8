package org.galenahinge.engine;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Calls the upstream beside this process, over a connection of its own for each call.
 *
 * <p>With no connection pool, a call that failed to connect certainly was not handed over, and nothing is ever sent
 * twice. The upstream is on the same VM, so a connection is cheap.
 */
public final class UpstreamClient {
    private final ActorSystem<?> system;
    private final URI upstream;

    private UpstreamClient(ActorSystem<?> system, URI upstream) {
        this.system = system;
        this.upstream = upstream;
    }

    /**
     * Creates a client.
     *
     * @param system runs the connections
     * @param upstream where the upstream listens
     * @return the client
     */
    public static UpstreamClient create(ActorSystem<?> system, URI upstream) {
        return new UpstreamClient(
                Objects.requireNonNull(system, "system"), Objects.requireNonNull(upstream, "upstream"));
    }

    /**
     * Sends one request, once.
     *
     * @param request the request
     * @param timeout how long to wait for the head of the answer
     * @return the exchange; never fails, see {@link Exchange#outcome()}
     */
    public Exchange send(HttpRequest request, Duration timeout) {
        Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection = Http.get(system)
                .connectionTo(upstream.getHost())
                .toPort(upstream.getPort())
                .http();
        CompletableFuture<HttpResponse> head = new CompletableFuture<>();
        Pair<UniqueKillSwitch, CompletionStage<OutgoingConnection>> running = openRequest(request)
                .viaMat(KillSwitches.single(), Keep.right())
                .viaMat(connection, Keep.both())
                .toMat(Sink.foreach(head::complete), (left, done) -> {
                    done.whenComplete((value, error) -> head.completeExceptionally(
                            error == null ? new IllegalStateException("closed before an answer") : error));
                    return left;
                })
                .run(system);
        CompletionStage<Outcome> outcome = running.second()
                .handle((connected, error) -> error)
                .thenCompose(error -> error == null ? answer(head, timeout) : refused(error));
        return new Exchange(outcome, running.first());
    }

    private static Source<HttpRequest, NotUsed> openRequest(HttpRequest request) {
        return Source.single(request).concat(Source.maybe());
    }

    private static CompletionStage<Outcome> refused(Throwable error) {
        return CompletableFuture.completedFuture(new Outcome.NotSent(messageOf(error)));
    }

    private static CompletionStage<Outcome> answer(CompletableFuture<HttpResponse> head, Duration timeout) {
        return head.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS).handle((response, error) -> {
            if (error != null) {
                return new Outcome.Lost(messageOf(error), error instanceof TimeoutException);
            }
            return new Outcome.Answered(response);
        });
    }

    private static String messageOf(Throwable error) {
        return error.getMessage() == null ? error.getClass().getSimpleName() : error.getMessage();
    }

    /**
     * One request under way.
     *
     * @param outcome what became of it
     * @param connection closes its connection
     */
    public record Exchange(CompletionStage<Outcome> outcome, UniqueKillSwitch connection) {
        /** Closes the connection, which also cancels the request at an upstream that watches for that. */
        public void close() {
            connection.abort(new IllegalStateException("the exchange was closed"));
        }
    }

    /** What became of a request. */
    public sealed interface Outcome {
        /**
         * No connection: the upstream never saw it.
         *
         * @param detail why
         */
        record NotSent(String detail) implements Outcome {}

        /**
         * The connection was up, but no answer came.
         *
         * @param detail why
         * @param timedOut whether the wait was given up
         */
        record Lost(String detail, boolean timedOut) implements Outcome {}

        /**
         * The head of the answer came; its body may still follow.
         *
         * @param response the answer
         */
        record Answered(HttpResponse response) implements Outcome {}
    }
}

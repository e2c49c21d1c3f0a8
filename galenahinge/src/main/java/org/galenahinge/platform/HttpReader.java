package org.galenahinge.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;

/** Reads bounded documents over HTTP. Never writes. */
public final class HttpReader {
    private final ActorSystem<?> system;

    private HttpReader(ActorSystem<?> system) {
        this.system = system;
    }

    /**
     * Creates a reader.
     *
     * @param system runs the connections
     * @return the reader
     */
    public static HttpReader create(ActorSystem<?> system) {
        return new HttpReader(Objects.requireNonNull(system, "system"));
    }

    /**
     * Reads a document.
     *
     * @param uri where it is
     * @param timeout how long to wait for all of it
     * @param maximumBytes the largest document taken
     * @return the document's bytes, or a {@link ReadException}
     */
    public CompletionStage<byte[]> get(URI uri, Duration timeout, long maximumBytes) {
        Objects.requireNonNull(uri, "uri");
        CompletableFuture<byte[]> reading = Http.get(system)
                .singleRequest(HttpRequest.GET(uri.toString()))
                .thenCompose(response -> readBody(uri, response, timeout, maximumBytes))
                .toCompletableFuture();
        return reading.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private CompletionStage<byte[]> readBody(URI uri, HttpResponse response, Duration timeout, long maximumBytes) {
        if (!response.status().equals(StatusCodes.OK)) {
            response.discardEntityBytes(system);
            return CompletableFuture.failedFuture(
                    new ReadException(uri + " answered " + response.status().intValue()));
        }
        return response.entity()
                .withSizeLimit(maximumBytes)
                .toStrict(timeout.toMillis(), maximumBytes, system)
                .thenApply(entity -> entity.getData().toArrayUnsafe());
    }

    /** Says that a document could not be read. */
    public static final class ReadException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ReadException(String message) {
            super(message);
        }
    }
}

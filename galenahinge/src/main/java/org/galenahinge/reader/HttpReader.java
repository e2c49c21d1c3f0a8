package org.galenahinge.reader;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.galenahinge.http.CompleteResponse;
import org.galenahinge.http.Exchange;
import org.galenahinge.wire.NetworkThreads;

/** Reads bounded documents over HTTP. Never writes. */
public final class HttpReader {
    private final NetworkThreads threads;

    private HttpReader(NetworkThreads threads) {
        this.threads = threads;
    }

    /**
     * Creates a reader.
     *
     * @param threads the threads that serve the connections
     * @return the reader
     */
    public static HttpReader create(NetworkThreads threads) {
        return new HttpReader(Objects.requireNonNull(threads, "threads"));
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
        String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
        Exchange.Request request = Exchange.Request.get(uri.getRawPath() + query);
        return CompleteResponse.fetch(threads, uri, request, timeout, maximumBytes)
                .thenApply(answer -> answer.bodyIfOk(status -> new ReadException(uri + " answered " + status)));
    }

    /** Says that a document could not be read. */
    public static final class ReadException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ReadException(String message) {
            super(message);
        }
    }
}

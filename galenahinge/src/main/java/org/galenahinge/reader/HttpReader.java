package org.galenahinge.reader;

import java.net.URI;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletionStage;
import org.galenahinge.http.CompleteResponse;
import org.galenahinge.http.Exchange;
import org.galenahinge.wire.NetworkThreads;

/** Reads documents of limited size over HTTP, with GET requests only. */
public final class HttpReader {
    private final NetworkThreads threads;

    private HttpReader(NetworkThreads threads) {
        this.threads = threads;
    }

    /**
     * Creates a reader.
     *
     * @param threads the network threads
     * @return the reader
     */
    public static HttpReader create(NetworkThreads threads) {
        return new HttpReader(Objects.requireNonNull(threads, "threads"));
    }

    /**
     * Reads a document.
     *
     * @param uri the URI of the document
     * @param timeout how long to wait for the complete document
     * @param maximumBytes the maximum size of the document, in bytes
     * @return the bytes of the document. Completes exceptionally with a {@link ReadException} if the status is not 200.
     */
    public CompletionStage<byte[]> get(URI uri, Duration timeout, long maximumBytes) {
        Objects.requireNonNull(uri, "uri");
        String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
        Exchange.Request request = Exchange.Request.get(uri.getRawPath() + query);
        return CompleteResponse.fetch(threads, uri, request, timeout, maximumBytes)
                .thenApply(
                        response -> response.bodyIfOk(status -> new ReadException(uri + " returned status " + status)));
    }

    /** Thrown when a document cannot be read. */
    public static final class ReadException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ReadException(String message) {
            super(message);
        }
    }
}

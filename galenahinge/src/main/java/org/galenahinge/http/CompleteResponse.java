package org.galenahinge.http;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.function.IntFunction;
import org.galenahinge.wire.NetworkThreads;

/** An HTTP response that has been received completely. Immutable: callers must not modify the body's bytes. */
public final class CompleteResponse {
    private static final int OK = 200;

    private final int status;
    private final byte[] body;
    private final Exchange.Headers headers;

    CompleteResponse(int status, Exchange.Headers headers, byte[] body) {
        this.status = status;
        this.headers = headers;
        this.body = body;
    }

    /**
     * Sends a request over a new connection and collects the response.
     *
     * @param threads the threads that serve the connection
     * @param server the URI of the server; only its host and port are used
     * @param request the request
     * @param timeout the maximum time until the response is complete, connecting included
     * @param maximumBytes the maximum size of the body, in bytes
     * @return the response; fails with a {@link FailedException} when it is not complete in time, too large or malformed,
     *     or when the connection fails
     */
    public static CompletionStage<CompleteResponse> fetch(
            NetworkThreads threads, URI server, Exchange.Request request, Duration timeout, long maximumBytes) {
        return fetch(threads, server, request, ResponseTimeout.ofTotal(timeout), maximumBytes, ResponseObserver.NONE);
    }

    /**
     * Sends a request over a new connection and collects the response, which may take longer while bytes arrive.
     *
     * @param threads the threads that serve the connection
     * @param server the URI of the server; only its host and port are used
     * @param request the request
     * @param timeout how long the response may take
     * @param maximumBytes the maximum size of the body, in bytes
     * @param observer observes how the response comes in
     * @return the response; fails with a {@link FailedException} when it is not complete in time, too large or malformed,
     *     or when the connection fails
     */
    public static CompletionStage<CompleteResponse> fetch(
            NetworkThreads threads,
            URI server,
            Exchange.Request request,
            ResponseTimeout timeout,
            long maximumBytes,
            ResponseObserver observer) {
        CompletableFuture<CompleteResponse> result = new CompletableFuture<>();
        Collector collector = new Collector(result, maximumBytes, timeout, observer);
        Exchange exchange = Exchange.send(threads, server, request, collector);
        collector.awaitUntilDeadline(threads);
        result.whenComplete((response, error) -> {
            if (error != null) {
                exchange.close();
            }
        });
        return result;
    }

    /**
     * Returns the status code.
     *
     * @return the status code
     */
    public int status() {
        return status;
    }

    /**
     * Finds a header.
     *
     * @param name the header name, case-insensitive
     * @return the first value, or empty when the header is absent
     */
    public Optional<String> header(String name) {
        return headers.find(name);
    }

    /**
     * Returns the body of a response with status 200.
     *
     * @param errorForStatus creates the exception that is thrown for any other status
     * @return the body, in bytes
     */
    public byte[] bodyIfOk(IntFunction<? extends RuntimeException> errorForStatus) {
        if (status != OK) {
            throw errorForStatus.apply(status);
        }
        return body;
    }

    /**
     * Returns the body, whatever the status.
     *
     * @return the body, in bytes
     */
    public byte[] body() {
        return body;
    }

    /** Thrown when no complete response was received. */
    public static final class FailedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        FailedException(String message) {
            super(message, null, false, false);
        }
    }

    private static final class Collector implements Exchange.Listener {
        private final CompletableFuture<CompleteResponse> result;
        private final long maximumBytes;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final ResponseTimeout.Deadline deadline;
        private final ResponseObserver observer;
        private final long startNanos = System.nanoTime();
        private int status;
        private Exchange.Headers headers = name -> Optional.empty();

        Collector(
                CompletableFuture<CompleteResponse> result,
                long maximumBytes,
                ResponseTimeout timeout,
                ResponseObserver observer) {
            this.result = result;
            this.maximumBytes = maximumBytes;
            this.deadline = new ResponseTimeout.Deadline(timeout, startNanos);
            this.observer = observer;
        }

        /** Fails the response once it has not gone on in time. */
        private void awaitUntilDeadline(NetworkThreads threads) {
            if (result.isDone()) {
                return;
            }
            Duration remaining = remaining();
            if (remaining.isNegative() || remaining.isZero()) {
                result.completeExceptionally(new FailedException(
                        "no complete response in time, " + body.size() + " bytes of its body received"));
                return;
            }
            Future<?> timer = threads.schedule(remaining.toMillis() + 1, () -> awaitUntilDeadline(threads));
            result.whenComplete((response, error) -> timer.cancel(false));
        }

        private synchronized Duration remaining() {
            return deadline.remaining(System.nanoTime());
        }

        private void bytesArrived() {
            synchronized (this) {
                deadline.bytesArrived(System.nanoTime());
            }
            observer.bytesArrived();
        }

        @Override
        public void onConnected() {
            observer.connected(Duration.ofNanos(System.nanoTime() - startNanos));
        }

        @Override
        public void onHead(int newStatus, Exchange.Headers newHeaders) {
            status = newStatus;
            headers = newHeaders;
            bytesArrived();
        }

        @Override
        public void onBodyPart(byte[] content) {
            if (body.size() + (long) content.length > maximumBytes) {
                result.completeExceptionally(
                        new FailedException("the response is larger than " + maximumBytes + " bytes"));
                return;
            }
            body.writeBytes(content);
            bytesArrived();
        }

        @Override
        public void onComplete() {
            result.complete(new CompleteResponse(status, headers, body.toByteArray()));
        }

        @Override
        public void onNotSent(String detail) {
            result.completeExceptionally(new FailedException(detail));
        }

        @Override
        public void onFailure(String detail) {
            result.completeExceptionally(new FailedException(detail));
        }
    }
}

package org.galenahinge.http;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.function.IntFunction;
import org.galenahinge.wire.NetworkThreads;

/** Collects an answer that is wanted whole and within a bound. */
public final class WholeAnswer {
    private static final int OK = 200;

    private WholeAnswer() {}

    /**
     * Sends a request and waits for the whole answer.
     *
     * @param threads the threads that serve the connection
     * @param server where the server listens
     * @param request the request
     * @param timeout how long to wait for all of it
     * @param maximumBytes the largest body taken
     * @return the answer, or a {@link FailedException}
     */
    public static CompletionStage<Whole> ask(
            NetworkThreads threads, URI server, Exchange.Request request, Duration timeout, long maximumBytes) {
        CompletableFuture<Whole> whole = new CompletableFuture<>();
        Exchange exchange = Exchange.send(threads, server, request, new Collector(whole, maximumBytes));
        Future<?> timer = threads.schedule(
                timeout.toMillis(), () -> whole.completeExceptionally(new FailedException("no whole answer in time")));
        whole.whenComplete((answer, error) -> {
            timer.cancel(false);
            if (error != null) {
                exchange.close();
            }
        });
        return whole;
    }

    /** A whole answer. */
    public static final class Whole {
        private final int status;
        private final byte[] body;

        Whole(int status, byte[] body) {
            this.status = status;
            this.body = body;
        }

        /**
         * Returns the status code.
         *
         * @return the code
         */
        public int status() {
            return status;
        }

        /**
         * Returns the body of a successful answer, which must not be changed.
         *
         * @param otherwise makes the error for an answer with another status than 200, from that status
         * @return the bytes
         */
        public byte[] bodyIfOk(IntFunction<? extends RuntimeException> otherwise) {
            if (status != OK) {
                throw otherwise.apply(status);
            }
            return body;
        }

        /**
         * Returns the body, which must not be changed.
         *
         * @return the bytes
         */
        public byte[] body() {
            return body;
        }
    }

    /** Says that no whole answer came. */
    public static final class FailedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        FailedException(String message) {
            super(message, null, false, false);
        }
    }

    private static final class Collector implements Exchange.Listener {
        private final CompletableFuture<Whole> whole;
        private final long maximumBytes;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        Collector(CompletableFuture<Whole> whole, long maximumBytes) {
            this.whole = whole;
            this.maximumBytes = maximumBytes;
        }

        @Override
        public void head(int newStatus, Exchange.Headers headers) {
            status = newStatus;
        }

        @Override
        public void part(byte[] content) {
            if (body.size() + (long) content.length > maximumBytes) {
                whole.completeExceptionally(
                        new FailedException("the answer is larger than " + maximumBytes + " bytes"));
                return;
            }
            body.writeBytes(content);
        }

        @Override
        public void whole() {
            whole.complete(new Whole(status, body.toByteArray()));
        }

        @Override
        public void notSent(String detail) {
            whole.completeExceptionally(new FailedException(detail));
        }

        @Override
        public void broken(String detail) {
            whole.completeExceptionally(new FailedException(detail));
        }
    }
}

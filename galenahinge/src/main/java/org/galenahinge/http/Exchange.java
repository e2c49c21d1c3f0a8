package org.galenahinge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import org.galenahinge.wire.NetworkThreads;

/**
 * One HTTP request and its response, over a new connection that is closed afterwards.
 *
 * <p>Connections are not pooled and requests are not retried. A request that could not connect has therefore certainly
 * not reached the server, and no request is sent twice.
 *
 * <pre>
 * Exchange exchange = Exchange.send(threads, server, Exchange.Request.get("/state"), listener);
 * exchange.close();
 * </pre>
 */
public final class Exchange {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_500);

    private final EventLoop loop;
    private final URI server;
    private final Request request;
    private final Listener listener;
    private volatile boolean closed;
    private volatile Optional<HttpConnection> connection = Optional.empty();

    private Exchange(EventLoop loop, URI server, Request request, Listener listener) {
        this.loop = loop;
        this.server = server;
        this.request = request;
        this.listener = listener;
    }

    /**
     * An HTTP request.
     *
     * @param method the HTTP method
     * @param path the path and query
     * @param headers the headers, except {@code Host}, {@code Content-Length} and {@code Connection}, which are added
     * @param body the parts of the body, in order
     */
    public record Request(String method, String path, Map<String, String> headers, List<byte[]> body) {
        /** Copies the collections. */
        public Request {
            Objects.requireNonNull(method, "method");
            Objects.requireNonNull(path, "path");
            headers = Map.copyOf(headers);
            body = List.copyOf(body);
        }

        /**
         * Creates a GET request without headers or body.
         *
         * @param path the path and query
         * @return the request
         */
        public static Request get(String path) {
            return new Request("GET", path, Map.of(), List.of());
        }

        long length() {
            return body.stream().mapToLong(part -> part.length).sum();
        }
    }

    /**
     * Receives the response, on a network thread. Exactly one of {@link #onComplete}, {@link #onNotSent} and
     * {@link #onFailure} is called, as the last method, unless {@link Exchange#close} is called before.
     */
    public interface Listener {
        /** Called when the connection has been opened. */
        default void onConnected() {}

        /**
         * Called with the status and headers of the response.
         *
         * @param status the status code
         * @param headers the headers
         */
        void onHead(int status, Headers headers);

        /**
         * Called with each part of the body, in order.
         *
         * @param content the bytes
         */
        void onBodyPart(byte[] content);

        /** Called when the response is complete. */
        void onComplete();

        /**
         * Called when no connection could be opened: the request has not reached the server.
         *
         * @param detail the cause, for logs
         */
        void onNotSent(String detail);

        /**
         * Called when the connection was lost, or the response was malformed, before it was complete. The server may
         * have run the request.
         *
         * @param detail the cause, for logs
         */
        void onFailure(String detail);
    }

    /** Looks up response headers by name. */
    @FunctionalInterface
    public interface Headers {
        /**
         * Finds a header.
         *
         * @param name the header name, case-insensitive
         * @return the first value, or empty when the header is absent
         */
        Optional<String> find(String name);
    }

    /**
     * Opens a connection and sends a request. Connecting fails after 1.5 seconds.
     *
     * @param threads the threads that serve the connection
     * @param server the URI of the server; only its host and port are used
     * @param request the request
     * @param listener receives the response
     * @return the running exchange
     */
    public static Exchange send(NetworkThreads threads, URI server, Request request, Listener listener) {
        EventLoop loop = threads.group().next();
        Exchange exchange = new Exchange(
                loop, server, Objects.requireNonNull(request, "request"), Objects.requireNonNull(listener, "listener"));
        try {
            loop.execute(exchange::open);
        } catch (RejectedExecutionException e) {
            listener.onNotSent("the process is stopping");
        }
        return exchange;
    }

    /** Closes the connection. A server that watches for disconnects then cancels the request. */
    public void close() {
        closed = true;
        connection.ifPresent(open -> {
            if (!loop.isShutdown()) {
                loop.execute(open::close);
            }
        });
    }

    private void open() {
        InetSocketAddress address = InetSocketAddress.createUnresolved(server.getHost(), server.getPort());
        HttpConnection.open(
                loop, UnpooledByteBufAllocator.DEFAULT, address, CONNECT_TIMEOUT, new HttpConnection.ConnectListener() {
                    @Override
                    public void onConnected(HttpConnection opened) {
                        connected(opened);
                    }

                    @Override
                    public void onConnectFailed(String detail) {
                        listener.onNotSent(detail);
                    }
                });
    }

    private void connected(HttpConnection opened) {
        connection = Optional.of(opened);
        if (closed) {
            opened.close();
            listener.onNotSent("the exchange was closed before the request was sent");
            return;
        }
        listener.onConnected();
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.path());
        request.headers().forEach((name, value) -> head.headers().set(name, value));
        head.headers()
                .set(HttpHeaderNames.HOST, server.getAuthority())
                .set(HttpHeaderNames.CONTENT_LENGTH, request.length())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        List<ByteBuf> body =
                request.body().stream().map(Unpooled::wrappedBuffer).toList();
        opened.send(head, body, new ResponseListener(opened));
    }

    /** Passes the response on, and closes the connection after it. */
    private final class ResponseListener implements HttpConnection.Listener {
        private final HttpConnection opened;

        ResponseListener(HttpConnection opened) {
            this.opened = opened;
        }

        @Override
        public void onHead(HttpResponse response) {
            listener.onHead(
                    response.status().code(),
                    name -> Optional.ofNullable(response.headers().get(name)));
        }

        @Override
        public void onBodyPart(ByteBuf content) {
            listener.onBodyPart(ByteBufUtil.getBytes(content));
        }

        @Override
        public void onComplete() {
            opened.close();
            listener.onComplete();
        }

        @Override
        public void onFailure(String detail) {
            listener.onFailure(detail);
        }
    }
}

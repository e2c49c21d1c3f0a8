package org.galenahinge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.URI;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
    private static final int CONNECT_TIMEOUT_MILLIS = 1_500;

    private volatile boolean closed;
    private volatile Optional<Channel> channel = Optional.empty();

    private Exchange() {}

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
     * {@link #onFailure} is called, as the last method.
     */
    public interface Listener {
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
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(listener, "listener");
        Exchange exchange = new Exchange();
        Bootstrap bootstrap = new Bootstrap()
                .group(threads.group())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                        opened.pipeline().addLast(new HttpClientCodec()).addLast(new ResponseHandler(listener));
                    }
                });
        bootstrap.connect(server.getHost(), server.getPort()).addListener(done -> {
            if (done.isSuccess()) {
                exchange.connected(((ChannelFuture) done).channel(), server, request, listener);
            } else {
                listener.onNotSent(ErrorText.of(done.cause()));
            }
        });
        return exchange;
    }

    /** Closes the connection. A server that watches for disconnects then cancels the request. */
    public void close() {
        closed = true;
        channel.ifPresent(Channel::close);
    }

    private void connected(Channel opened, URI server, Request request, Listener listener) {
        channel = Optional.of(opened);
        if (closed) {
            opened.pipeline().remove(ResponseHandler.class);
            opened.close();
            listener.onNotSent("the exchange was closed before the request was sent");
            return;
        }
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.path());
        request.headers().forEach((name, value) -> head.headers().set(name, value));
        head.headers()
                .set(HttpHeaderNames.HOST, server.getAuthority())
                .set(HttpHeaderNames.CONTENT_LENGTH, request.length())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        opened.write(head);
        writeNext(opened, request.body().iterator());
    }

    /** Writes each part only after the one before has been sent, so that a large body does not pile up in the send buffer. */
    private static void writeNext(Channel opened, Iterator<byte[]> parts) {
        if (!parts.hasNext()) {
            opened.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            return;
        }
        opened.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(parts.next())))
                .addListener(sent -> {
                    if (sent.isSuccess()) {
                        writeNext(opened, parts);
                    }
                });
    }

    private static final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final Listener listener;
        private boolean ended;

        ResponseHandler(Listener listener) {
            super(HttpObject.class);
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (ended) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                fail(context, "the response is malformed");
                return;
            }
            if (message instanceof HttpResponse response) {
                listener.onHead(
                        response.status().code(),
                        name -> Optional.ofNullable(response.headers().get(name)));
            }
            if (message instanceof HttpContent content && content.content().isReadable()) {
                byte[] bytes = new byte[content.content().readableBytes()];
                content.content().readBytes(bytes);
                listener.onBodyPart(bytes);
            }
            if (message instanceof LastHttpContent) {
                ended = true;
                listener.onComplete();
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(context, "the connection was closed before the response was complete");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean network = cause instanceof IOException;
            fail(context, network ? ErrorText.of(cause) : "error while reading the response: " + cause);
        }

        private void fail(ChannelHandlerContext context, String detail) {
            if (ended) {
                return;
            }
            ended = true;
            listener.onFailure(detail);
            context.close();
        }
    }
}

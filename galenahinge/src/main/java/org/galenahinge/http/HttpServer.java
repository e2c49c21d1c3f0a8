package org.galenahinge.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.galenahinge.wire.NetworkThreads;
import org.galenahinge.wire.WireAddress;

/** Serves small documents, at once or later. */
public final class HttpServer {
    private static final int MAXIMUM_REQUEST_BYTES = 16 << 10;

    private HttpServer() {}

    /** Answers requests. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Answers a request, on its network thread or another.
         *
         * @param uri the path and query
         * @param reply takes the answer, once
         */
        void answer(String uri, Consumer<HttpDocument> reply);
    }

    /**
     * Starts a server whose documents are there at once.
     *
     * @param threads the threads that serve it; it ends with them
     * @param address where to listen
     * @param documents gives the document at a path, or empty when there is none
     * @throws IOException when the port is in use
     */
    public static void start(
            NetworkThreads threads, WireAddress address, Function<String, Optional<HttpDocument>> documents)
            throws IOException {
        Objects.requireNonNull(documents, "documents");
        serve(
                threads,
                address,
                (uri, reply) -> reply.accept(documents.apply(uri).orElseGet(HttpServer::nothing)));
    }

    /**
     * Starts a server whose documents may come later.
     *
     * @param threads the threads that serve it; it ends with them
     * @param address where to listen
     * @param handler answers the requests
     * @return the channel that listens
     * @throws IOException when the port is in use
     */
    public static Channel serve(NetworkThreads threads, WireAddress address, Handler handler) throws IOException {
        Objects.requireNonNull(handler, "handler");
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(threads.group())
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                                .addLast(new Answerer(handler));
                    }
                });
        return NetworkThreads.awaitBound(bootstrap.bind(address.host(), address.port()), address);
    }

    /**
     * Returns the answer for a path that names nothing.
     *
     * @return the answer
     */
    public static HttpDocument nothing() {
        return HttpDocument.text(404, "text/plain", "nothing here\n");
    }

    private static final class Answerer extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler handler;

        Answerer(Handler handler) {
            super(FullHttpRequest.class);
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean kept = HttpUtil.isKeepAlive(request);
            handler.answer(request.uri(), document -> write(context, document, kept));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private static void write(ChannelHandlerContext context, HttpDocument document, boolean kept) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(document.status()),
                    Unpooled.wrappedBuffer(document.body()));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, document.contentType())
                    .set(HttpHeaderNames.CONTENT_LENGTH, document.body().length);
            if (kept) {
                context.writeAndFlush(response, context.voidPromise());
                return;
            }
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}

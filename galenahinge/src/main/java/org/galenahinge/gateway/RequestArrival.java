package org.galenahinge.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.function.IntSupplier;

/**
 * Sees the bytes of requests before they are decoded: reports them, so that the time of a request counts from its first byte,
 * and has them decoded within the limit on the size of a head that is in force at that moment.
 *
 * <p>A codec keeps its limit for good, so it is replaced when a request begins to arrive under another one. A request that has
 * begun to arrive keeps its limit. So do those that their caller sends without waiting for responses, until all have been
 * responded to.
 */
final class RequestArrival extends ChannelInboundHandlerAdapter {
    private static final int MAXIMUM_CHUNK_BYTES = 64 << 10;

    private final CallerConnection connection;
    private final IntSupplier maximumHeadBytes;
    private int decodedWithin;

    /**
     * Creates the handler.
     *
     * @param connection the connection
     * @param maximumHeadBytes the limit in force on the size of a head, in bytes
     */
    RequestArrival(CallerConnection connection, IntSupplier maximumHeadBytes) {
        this.connection = connection;
        this.maximumHeadBytes = maximumHeadBytes;
    }

    /** Creates the codec to be placed behind this handler. */
    HttpServerCodec newCodec() {
        decodedWithin = maximumHeadBytes.getAsInt();
        return new HttpServerCodec(decodedWithin, decodedWithin, MAXIMUM_CHUNK_BYTES);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (decodedWithin != maximumHeadBytes.getAsInt() && connection.awaitsRequest()) {
            context.pipeline().replace(HttpServerCodec.class, null, newCodec());
        }
        connection.bytesReceived();
        super.channelRead(context, message);
    }
}

package org.galenahinge.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import java.util.Objects;

/**
 * What is on its way to the caller of a connection: its responses, and after them the end of the connection. Used by the
 * gateway's thread only.
 */
final class CallerDelivery {
    private final ChannelHandlerContext context;
    private boolean bodyEndsWithConnection;

    CallerDelivery(ChannelHandlerContext context) {
        this.context = Objects.requireNonNull(context, "context");
    }

    /** Records whether the body that is being written is complete only if the connection is closed in order. */
    void setBodyEndsWithConnection(boolean endsWithConnection) {
        bodyEndsWithConnection = endsWithConnection;
    }

    /** Tells the caller that nothing follows; what it sends is still read, so that it does not reset the connection. */
    void shutDown() {
        if (context.channel() instanceof SocketChannel socket) {
            socket.shutdownOutput();
        }
    }

    /** Closes the connection. A body that ends with it would look complete if it were closed and not reset. */
    void close() {
        if (bodyEndsWithConnection) {
            context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        context.channel().close();
    }
}

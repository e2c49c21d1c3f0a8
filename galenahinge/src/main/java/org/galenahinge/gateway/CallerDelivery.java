package org.galenahinge.gateway;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import java.util.Objects;
import org.galenahinge.http.OutboundBytes;

/**
 * What is on its way to the caller of a connection: its responses, and after them the end of the connection. Used by the
 * gateway's thread only.
 */
final class CallerDelivery {
    /** The bytes of a response that its caller is taken to have received soon after they were given to the network. */
    private static final int SMALL_RESPONSE_BYTES = 32 << 10;

    /** The bytes that each caller may leave unread while the budget is short. */
    private static final int UNREAD_BYTES_UNDER_PRESSURE = 32 << 10;

    private final ChannelHandlerContext context;
    private final BufferBudget budget;
    private long responseBytes;
    private int unwrittenResponses;
    private boolean bodyEndsWithConnection;

    CallerDelivery(ChannelHandlerContext context, BufferBudget budget) {
        this.context = Objects.requireNonNull(context, "context");
        this.budget = Objects.requireNonNull(budget, "budget");
    }

    /** Records the begin of a response. */
    void responseBegins() {
        responseBytes = 0;
    }

    /** Records a part of the body of a response that is given to the network. */
    void partWritten(int bytes) {
        responseBytes += bytes;
        budget.recordWritten(bytes);
    }

    /** Returns how many bytes were written and not given to the network, because the caller does not read. */
    long unreadBytes() {
        return OutboundBytes.pending(context.channel());
    }

    /** Whether the rest of a response may be read from its upstream. */
    boolean mayTakeMore() {
        return context.channel().isWritable() && !isHeldBack();
    }

    /** Whether no further response may begin, because the budget is short and the caller has not read those before. */
    boolean isHeldBack() {
        return budget.isUnderPressure() && unreadBytes() > UNREAD_BYTES_UNDER_PRESSURE;
    }

    /** Whether the network may hold a part of the last response that a caller which reads slowly has not received. */
    boolean mayBeUnread() {
        return responseBytes > SMALL_RESPONSE_BYTES;
    }

    /** Records a response that ends with a write; several may be on their way. */
    void responseEnded(ChannelFuture lastWrite) {
        unwrittenResponses++;
        lastWrite.addListener(done -> unwrittenResponses--);
    }

    /** Records whether the body that is being written is complete only if the connection is closed in order. */
    void setBodyEndsWithConnection(boolean endsWithConnection) {
        bodyEndsWithConnection = endsWithConnection;
    }

    /** Whether responses have ended that were not yet given to the network. */
    boolean isWriting() {
        return unwrittenResponses > 0;
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

package org.galenahinge.wire;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Limits what a network thread reads from one connection before it turns to the next one, so that a peer that sends
 * without end gets its share of the thread and no more. All connections of the system have this limit.
 */
public final class ReadLimit {
    /** The maximum number of bytes that are read from a connection, and then handled, in one turn. */
    public static final int BYTES_PER_TURN = 64 << 10;

    private static final int MINIMUM_BUFFER_BYTES = 64;
    private static final int INITIAL_BUFFER_BYTES = 2 << 10;
    private static final int READS_PER_TURN = 1;

    private ReadLimit() {}

    /**
     * Returns the limit as an option of a channel.
     *
     * @return the value for {@link io.netty.channel.ChannelOption#RECVBUF_ALLOCATOR}
     */
    public static RecvByteBufAllocator perTurn() {
        return new AdaptiveRecvByteBufAllocator(MINIMUM_BUFFER_BYTES, INITIAL_BUFFER_BYTES, BYTES_PER_TURN)
                .maxMessagesPerRead(READS_PER_TURN);
    }
}

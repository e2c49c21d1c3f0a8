package org.galenahinge.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Counts what was written to a connection and not given to the network, because its peer does not read. */
public final class OutboundBytes {
    private OutboundBytes() {}

    /**
     * Returns how many bytes of a connection wait for the network.
     *
     * @param channel the connection
     * @return the number of bytes, 0 for a closed connection
     */
    public static long pending(Channel channel) {
        ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
        return unwritten == null ? 0 : unwritten.totalPendingWriteBytes();
    }
}

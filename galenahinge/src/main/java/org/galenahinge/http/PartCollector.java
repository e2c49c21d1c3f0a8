package org.galenahinge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Joins the chunks of a body that were read at once, so that the work and memory for them depend on their bytes and not
 * on how the server divides them. A single chunk is not copied. Not thread-safe.
 */
final class PartCollector {
    private ByteBuf part = Unpooled.EMPTY_BUFFER;
    private boolean copied;

    /** Adds a chunk, which stays the caller's to release. */
    void add(ByteBuf chunk) {
        if (!chunk.isReadable()) {
            return;
        }
        if (!part.isReadable()) {
            part = chunk.retain();
            copied = false;
            return;
        }
        if (!copied) {
            ByteBuf first = part;
            part = Unpooled.buffer(first.readableBytes() + chunk.readableBytes())
                    .writeBytes(first);
            first.release();
            copied = true;
        }
        part.writeBytes(chunk, chunk.readerIndex(), chunk.readableBytes());
    }

    /** Removes what was collected, perhaps nothing; the caller releases it. */
    ByteBuf take() {
        ByteBuf taken = part;
        part = Unpooled.EMPTY_BUFFER;
        return taken;
    }
}

package org.galenahinge.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;

/**
 * The response to one request, which knows what of it was written: nothing, the head of a body that follows in parts, or
 * all of it. Only what fits is written: once a body has begun, a complete response or another head breaks it off. Used by
 * the gateway's thread only.
 */
final class CallerResponse {
    private final ResponseWriter writer;
    private Phase phase = Phase.NOT_BEGUN;

    CallerResponse(ResponseWriter writer) {
        this.writer = Objects.requireNonNull(writer, "writer");
    }

    private enum Phase {
        NOT_BEGUN,
        BODY_BEGUN,
        ENDED
    }

    /** Returns whether a part of the response was written, so that no other response can take its place. */
    boolean hasBegun() {
        return phase != Phase.NOT_BEGUN;
    }

    /** Writes a complete response; a body that has begun is broken off instead. The reference of the body is released. */
    void writeComplete(int status, HttpHeaders headers, ByteBuf body) {
        if (phase != Phase.NOT_BEGUN) {
            body.release();
            breakOff();
            return;
        }
        phase = Phase.ENDED;
        writer.writeComplete(status, headers, body);
    }

    /** Begins a body that follows in parts; one that has begun already is broken off. */
    void begin(int status, HttpHeaders headers) {
        if (phase != Phase.NOT_BEGUN) {
            breakOff();
            return;
        }
        phase = Phase.BODY_BEGUN;
        writer.writeHead(status, headers);
    }

    /** Writes a part of a body that has begun, else nothing. The reference of the content is released. */
    void writePart(ByteBuf content) {
        if (phase != Phase.BODY_BEGUN) {
            content.release();
            return;
        }
        writer.writePart(content);
    }

    /** Ends a body that has begun as complete. */
    void finish() {
        if (phase == Phase.BODY_BEGUN) {
            phase = Phase.ENDED;
            writer.finish();
        }
    }

    /** Ends a body that has begun visibly incomplete. */
    void breakOff() {
        if (phase == Phase.BODY_BEGUN) {
            phase = Phase.ENDED;
            writer.abort();
        }
    }

    /** Returns whether the caller reads fast enough for more to be written without filling buffers. */
    boolean isWritable() {
        return writer.isWritable();
    }
}
